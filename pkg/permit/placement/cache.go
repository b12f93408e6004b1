package placement

import "slices"

const (
	// trackedObjects is the number of objects in the list of recently served objects of each target.
	trackedObjects = 64
	// rankBucketSize is the number of adjacent recency ranks that share one estimate of the hit rate, and hitRateWeight the
	// weight of one observation in it.
	rankBucketSize = 4
	hitRateWeight  = 0.1
)

// RecentObjects holds the hashes of the objects that a target served, most recent first.
type RecentObjects []uint64

// Rank returns how many other objects the target has served since it last served this one, or trackedObjects if that is unknown.
func (r RecentObjects) Rank(object uint64) int {
	if i := slices.Index(r, object); i >= 0 {
		return i
	}
	return trackedObjects
}

// Touch moves an object to the front and returns the new list. The last object is dropped if the list is full.
func (r RecentObjects) Touch(object uint64) RecentObjects {
	if object == 0 {
		return r
	}
	if i := slices.Index(r, object); i >= 0 {
		copy(r[1:i+1], r[:i])
		r[0] = object
		return r
	}
	if len(r) < trackedObjects {
		r = append(r, 0)
	}
	copy(r[1:], r)
	r[0] = object
	return r
}

// cacheModel estimates how many objects the targets of a service keep in their caches. For each bucket of recency ranks it holds
// the fraction of the requests that were as fast as a cache hit.
type cacheModel [trackedObjects / rankBucketSize]float64

func newCacheModel() cacheModel {
	var m cacheModel
	for i := range m {
		m[i] = 1
	}
	return m
}

// likelyHit reports whether most requests at a recency rank are cache hits.
func (m *cacheModel) likelyHit(rank int) bool {
	return rank < trackedObjects && m[rank/rankBucketSize] > 0.5
}

func (m *cacheModel) observe(rank int, fast bool) {
	if rank >= trackedObjects {
		return
	}
	sample := 0.0
	if fast {
		sample = 1
	}
	m[rank/rankBucketSize] += hitRateWeight * (sample - m[rank/rankBucketSize])
}
