package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarriedIDs limits the memory for the IDs that a connection has carried, to 2 KB. A connection that has carried so many is closed.
const maxCarriedIDs = 256

// carriedIDs holds the hashes of the request IDs that a connection has carried. Two IDs with one hash only cost a connection.
type carriedIDs []uint64

// add records an ID; an empty one is ignored.
func (c *carriedIDs) add(id string) {
	if id != "" {
		*c = append(*c, xxhash.Sum64String(id))
	}
}

// contains reports whether an ID was recorded.
func (c carriedIDs) contains(id string) bool {
	return id != "" && slices.Contains(c, xxhash.Sum64String(id))
}

// full reports whether no further ID can be recorded.
func (c carriedIDs) full() bool { return len(c) >= maxCarriedIDs }
