// Package store is the narrow interface to the users' platform: a transactional table, an object store and a lagging
// list of hosts. Drivers register themselves in init.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/registry"
)

var (
	// ErrUnavailable means that the platform did not answer and that nothing was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrConflict means that a condition of a transaction did not hold; nothing was written.
	ErrConflict = errors.New("condition not met")
	// ErrUnknownOutcome means that a write may or may not have taken effect, now or later. Read back or repeat a
	// conditional write.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
	// ErrNotFound means that there is no such row or object.
	ErrNotFound = errors.New("not found")
)

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// Version grows with each write of the row; 0 means that the row does not exist.
	Version uint64
}

// Condition must hold for a transaction to commit. Version 0 means that the row must not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets a row, or deletes it if Delete is true.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is applied as a whole or not at all.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Table is the transactional table.
type Table interface {
	// Get returns a row. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose key has the prefix and is greater than after, in key order. Errors:
	// ErrUnavailable.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. Errors: ErrConflict, ErrUnavailable, ErrUnknownOutcome.
	Commit(ctx context.Context, txn Txn) error
}

// ObjectStore keeps large values.
type ObjectStore interface {
	// GetObject returns an object. Errors: ErrNotFound, ErrUnavailable.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// PutObject stores an object. Errors: ErrUnavailable, ErrUnknownOutcome; repeating it is safe.
	PutObject(ctx context.Context, name string, data []byte) error
}

// HostEntry is one line of the platform's lagging host list.
type HostEntry struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	PeerAddress   string `json:"peer_address"`
	Leaving       bool   `json:"leaving"`
}

// HostList is the platform's list of live and leaving hosts. It lags and must not be trusted for liveness.
type HostList interface {
	// Hosts returns the list. Errors: ErrUnavailable.
	Hosts(ctx context.Context) ([]HostEntry, error)
	// Announce adds or refreshes this host's entry. Errors: ErrUnavailable.
	Announce(ctx context.Context, entry HostEntry) error
}

// ErrHistoryLost means that the changes after a version are no longer known; list the table instead.
var ErrHistoryLost = errors.New("history lost")

// WatchedRow is a row of a table that other programs write.
type WatchedRow struct {
	Key     string
	Value   []byte
	Version uint64
	// Deleted is set if the row was removed at that version.
	Deleted bool
}

// Feed reads tables that other programs write. A driver may provide it.
type Feed interface {
	// List returns all rows of a table and the version at which they hold. Errors: ErrUnavailable.
	List(ctx context.Context, table string) (rows []WatchedRow, version uint64, err error)
	// Changes returns the rows that changed after a version, and the version up to which they are complete. It waits up to
	// wait for the first one. Errors: ErrUnavailable, ErrHistoryLost.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rows []WatchedRow, version uint64, err error)
}

// Platform is everything that a driver provides.
type Platform interface {
	Table
	ObjectStore
	HostList
}

// Opener connects a driver to the platform at a URL.
type Opener func(url string) (Platform, error)

var drivers = registry.New[Opener]("platform driver")

// RegisterDriver adds a driver. Call it from init; it panics on a duplicate name.
func RegisterDriver(name string, open Opener) { drivers.Register(name, open) }

// Open connects to the platform with a registered driver.
func Open(name, url string) (Platform, error) {
	open, ok := drivers.Get(name)
	if !ok {
		return nil, errors.Newf("platform driver %q is not one of %v", name, Drivers())
	}
	return open(url)
}

// Drivers returns the names of the registered drivers, sorted.
func Drivers() []string { return drivers.Names() }
