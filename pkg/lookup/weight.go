package lookup

// weight returns the rendezvous hashing weight of a node for a caller's block. It combines precomputed hashes, unlike
// pkg/rendezvous, which hashes names, because a lookup weighs several hundred nodes. The 64-bit finalizer of MurmurHash3
// makes the weights for one block independent of those for another.
func weight(block, node uint64) uint64 {
	x := block ^ node
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// scored is the weight of the node at an index of a list.
type scored struct {
	weight uint64
	index  int
}

// insertTop inserts s into top, which holds the highest weights seen so far in descending order, and keeps at most limit of
// them.
func insertTop(top []scored, limit int, s scored) []scored {
	if len(top) == limit {
		if s.weight <= top[limit-1].weight {
			return top
		}
		top = top[:limit-1]
	}
	top = append(top, s)
	for i := len(top) - 1; i > 0 && top[i].weight > top[i-1].weight; i-- {
		top[i], top[i-1] = top[i-1], top[i]
	}
	return top
}
