package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Errors of Manager.Commit, besides *ValidationError, *VersionConflict, ErrReadOnly, store.ErrUnavailable and
// store.ErrUnknownOutcome.
var (
	// ErrRequestIDReused means that a change with other content was committed with the request ID.
	ErrRequestIDReused = errors.New("the request ID was used for another change")
)

// errGap means that changes are missing between the newest applied version and the received changes.
var errGap = errors.New("changes between the applied version and the received ones are missing")

// Problem is one violation of a validation rule.
type Problem struct {
	// Field names the object and the field, for example "target t1: slots".
	Field string
	// Value is the invalid value, which may be truncated.
	Value string
	// Rule is the violated rule, for example "must be greater than 0".
	Rule string
}

// String returns the field, the value and the rule.
func (p Problem) String() string { return fmt.Sprintf("%s = %q: %s", p.Field, p.Value, p.Rule) }

// ValidationError lists the problems of a change or a snapshot.
type ValidationError struct{ Problems []Problem }

// Error returns all problems, separated by semicolons.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "invalid configuration: " + strings.Join(lines, "; ")
}

// VersionConflict means that the version of an object differs from the base version of a mutation.
type VersionConflict struct {
	Key Key
	// Base is the base version of the mutation and InForce the version of the object; 0 means that the object does not exist.
	Base    uint64
	InForce uint64
}

// Error returns a message with the object and both versions.
func (e *VersionConflict) Error() string {
	return fmt.Sprintf("%s %s: the change is based on version %d, but version %d is in force",
		e.Key.Kind, e.Key.Name, e.Base, e.InForce)
}
