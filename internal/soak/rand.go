package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Rand is a random source for several goroutines. A seed repeats the numbers, not the goroutines that draw them.
type Rand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// NewRand returns a source with a seed.
func NewRand(seed int) *Rand { return &Rand{rng: rand.New(rand.NewPCG(uint64(seed), 0))} }

// IntN returns a number from 0 to n-1.
func (r *Rand) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// Percent returns true in p of 100 cases.
func (r *Rand) Percent(p int) bool { return r.IntN(100) < p }

// Duration returns a duration below limit.
func (r *Rand) Duration(limit time.Duration) time.Duration { return time.Duration(r.IntN(int(limit))) }
