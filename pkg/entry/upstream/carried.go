package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarriedIDs limits the memory for the IDs that a connection has carried, to 2 KB. A connection that has carried so many is closed.
const maxCarriedIDs = 256

// idHash is the hash of a request ID, 0 for an empty one. Two IDs with one hash only cost a connection.
type idHash uint64

func hashID(id string) idHash {
	if id == "" {
		return 0
	}
	return max(idHash(xxhash.Sum64String(id)), 1)
}

// carriedIDs holds the request IDs that a connection has carried. The hash 0 is never among them.
type carriedIDs []idHash

func (c *carriedIDs) add(id idHash) {
	if id != 0 {
		*c = append(*c, id)
	}
}

func (c carriedIDs) contains(id idHash) bool { return slices.Contains(c, id) }

// full reports whether no further ID can be recorded.
func (c carriedIDs) full() bool { return len(c) >= maxCarriedIDs }
