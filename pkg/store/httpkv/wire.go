// Package httpkv is the platform driver for the HTTP/JSON protocol of the stand-in platform. Its protocol types are also used by
// the stand-in itself.
package httpkv

import "github.com/rattanhitch/rattanhitch/pkg/store"

// Paths of the protocol. Keys and names are passed as query parameters, because they contain slashes.
const (
	PathRow    = "/v1/row"
	PathScan   = "/v1/scan"
	PathCommit = "/v1/commit"
	PathObject = "/v1/object"
	PathHosts  = "/v1/hosts"
)

// Error codes of the protocol. Each of them guarantees that nothing was written.
const (
	CodeNotFound    = "not_found"
	CodeConflict    = "conflict"
	CodeUnavailable = "unavailable"
	CodeInvalid     = "invalid"
)

// Failure is the body of a response with a status other than 2xx.
type Failure struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Row is the JSON form of store.Row.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Rows is the response body of PathScan.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Condition is the JSON form of store.Condition.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write is the JSON form of store.Write.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is the request body of PathCommit.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Hosts is the response body of PathHosts.
type Hosts struct {
	Hosts []store.HostEntry `json:"hosts"`
}

// EncodeTxn converts a transaction to its JSON form.
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

// DecodeTxn converts a transaction from its JSON form.
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
