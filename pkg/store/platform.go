// Package store defines the interface to the users' platform: a transactional key-value table, an object store, an eventually
// consistent host list and an optional changefeed. Drivers register themselves in init.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/registry"
)

var (
	// ErrUnavailable means that the call failed and that nothing was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrConflict means that a condition of the transaction was not met and that nothing was written.
	ErrConflict = errors.New("condition not met")
	// ErrUnknownOutcome means that a write may have taken effect, or may still take effect later. To find out, read the row or
	// repeat the write with a condition.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
	// ErrNotFound means that there is no such row or object.
	ErrNotFound = errors.New("not found")
)

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// Version grows with each write of the row, also after the platform was restored from a copy; 0 means that the row does not exist.
	Version uint64
}

// Condition requires that a row has the given version when the transaction commits, or, with version 0, that it does not exist.
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

// Txn is an atomic transaction: if all conditions hold, all writes are applied, otherwise none.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Table is a transactional key-value table.
type Table interface {
	// Get returns a row. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose key has the prefix and is greater than after, in key order. Errors:
	// ErrUnavailable.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction. Errors: ErrConflict, ErrUnavailable, ErrUnknownOutcome.
	Commit(ctx context.Context, txn Txn) error
}

// ObjectStore stores values that are too large for rows.
type ObjectStore interface {
	// GetObject returns an object. Errors: ErrNotFound, ErrUnavailable.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// PutObject stores an object. Errors: ErrUnavailable, ErrUnknownOutcome; repeating it is safe.
	PutObject(ctx context.Context, name string, data []byte) error
}

// HostEntry is an entry of the platform's host list.
type HostEntry struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	PeerAddress   string `json:"peer_address"`
	Leaving       bool   `json:"leaving"`
}

// HostList is the platform's list of live and leaving hosts. It is eventually consistent, so it helps to discover hosts but
// must not be used to decide whether a host is alive.
type HostList interface {
	// Hosts returns the list. Errors: ErrUnavailable.
	Hosts(ctx context.Context) ([]HostEntry, error)
	// Announce adds or refreshes this host's entry. Errors: ErrUnavailable.
	Announce(ctx context.Context, entry HostEntry) error
}

// ErrHistoryLost means that the platform no longer has the changes after the given version. The caller must call Feed.List.
var ErrHistoryLost = errors.New("history lost")

// ErrRestored means that the platform came back from a copy that lacks its latest changes, and that the given version is from before
// that. The caller must call Feed.List.
var ErrRestored = errors.New("platform restored from a copy")

// WatchedRow is a row, or the tombstone of a deleted row, of a table that other programs write.
type WatchedRow struct {
	Key     string
	Value   []byte
	Version uint64
	// Deleted is true if the row was deleted at Version.
	Deleted bool
}

// Feed is a changefeed of tables that other programs write. It is optional for drivers.
type Feed interface {
	// List returns all rows of a table and the version to pass to Changes for what changed since. Errors: ErrUnavailable.
	List(ctx context.Context, table string) (rows []WatchedRow, version uint64, err error)
	// Changes returns the rows that changed after the given version, and the version up to which they are complete. It is a
	// long poll: without a change it returns after wait. Errors: ErrUnavailable, ErrHistoryLost, ErrRestored.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rows []WatchedRow, version uint64, err error)
}

// Platform is the interface that every driver implements.
type Platform interface {
	Table
	ObjectStore
	HostList
}

// Opener returns a driver's client of the platform at a URL.
type Opener func(url string) (Platform, error)

var drivers = registry.New[Opener]("platform driver")

// RegisterDriver adds a driver. Call it from init; it panics on a duplicate name.
func RegisterDriver(name string, open Opener) { drivers.Register(name, open) }

// Open returns a client of the platform at a URL, made by the driver with the given name. It fails for an unknown driver.
func Open(name, url string) (Platform, error) {
	open, ok := drivers.Get(name)
	if !ok {
		return nil, errors.Newf("platform driver %q is not one of %v", name, Drivers())
	}
	return open(url)
}

// Drivers returns the names of the registered drivers, sorted.
func Drivers() []string { return drivers.Names() }
