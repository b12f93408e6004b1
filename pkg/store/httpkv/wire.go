// Package httpkv is the platform driver for the HTTP/JSON protocol of the stand-in platform.
package httpkv

import "github.com/rattanhitch/rattanhitch/pkg/store"

// Paths of the protocol. Keys and names are query parameters, because they contain slashes.
const (
	PathRow    = "/v1/row"
	PathScan   = "/v1/scan"
	PathCommit = "/v1/commit"
	PathObject = "/v1/object"
	PathHosts  = "/v1/hosts"
)

// Codes of a failed call. Each of them means that nothing was written.
const (
	CodeNotFound    = "not_found"
	CodeConflict    = "conflict"
	CodeUnavailable = "unavailable"
	CodeInvalid     = "invalid"
)

// Failure is the body of an answer with a status other than 2xx.
type Failure struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Row is a row of the table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Rows is the answer to a scan.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Condition must hold for a transaction to commit.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is the body of a commit.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Hosts is the host list.
type Hosts struct {
	Hosts []store.HostEntry `json:"hosts"`
}

// EncodeTxn converts a transaction to its wire form.
func EncodeTxn(txn store.Txn) Txn {
	var wire Txn
	for _, c := range txn.Conditions {
		wire.Conditions = append(wire.Conditions, Condition(c))
	}
	for _, w := range txn.Writes {
		wire.Writes = append(wire.Writes, Write(w))
	}
	return wire
}

// DecodeTxn converts a transaction from its wire form.
func DecodeTxn(wire Txn) store.Txn {
	var txn store.Txn
	for _, c := range wire.Conditions {
		txn.Conditions = append(txn.Conditions, store.Condition(c))
	}
	for _, w := range wire.Writes {
		txn.Writes = append(txn.Writes, store.Write(w))
	}
	return txn
}
