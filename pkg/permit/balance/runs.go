package balance

import "time"

// minLimitedRuns is the number of requests in a window from which on the limit applies: the regions of fewer differ by more than a limit by chance.
const minLimitedRuns = 40

const (
	// maxCredit is how many waiting requests may run here in a row while none leaves.
	maxCredit = 20
	// creditMargin is added to the share that the credit of a request that leaves stands for. Without it, each chance deviation would redirect waiting
	// requests.
	creditMargin = 0.05
)

// runs counts the requests of this failure domain's callers that run in it, and those that were redirected, in two windows side by side.
type runs struct {
	// here and away hold the counts of each updateInterval, the present one first.
	here, away []int
	// recent and before are the sums of the later and of the earlier window.
	recent, before runCount
	intervalAt     time.Time
	// credit is how many more requests that have waited may run here. Each one that leaves adds creditForAway.
	credit, creditForAway float64
}

// runCount is a number of requests that run here, and that run in other failure domains.
type runCount struct{ here, away int }

func newRuns(window time.Duration) *runs {
	n := max(1, int(window/updateInterval))
	return &runs{here: make([]int, 2*n), away: make([]int, 2*n), creditForAway: maxCredit}
}

// advance starts the intervals that have begun since the last call.
func (r *runs) advance(now time.Time) {
	if now.Sub(r.intervalAt) >= time.Duration(len(r.here))*updateInterval {
		*r = runs{here: make([]int, len(r.here)), away: make([]int, len(r.away)), intervalAt: now, creditForAway: maxCredit}
		return
	}
	for now.Sub(r.intervalAt) >= updateInterval {
		r.intervalAt = r.intervalAt.Add(updateInterval)
		r.shift()
	}
}

// shift moves all counts by one interval.
func (r *runs) shift() {
	last := len(r.here) - 1
	middle := last / 2
	r.before.here += r.here[middle] - r.here[last]
	r.before.away += r.away[middle] - r.away[last]
	r.recent.here -= r.here[middle]
	r.recent.away -= r.away[middle]
	copy(r.here[1:], r.here)
	copy(r.away[1:], r.away)
	r.here[0], r.away[0] = 0, 0
}

func (r *runs) countHere(now time.Time) {
	r.advance(now)
	r.here[0]++
	r.recent.here++
	r.credit = max(0, r.credit-1)
}

func (r *runs) countAway(now time.Time) {
	r.advance(now)
	r.away[0]++
	r.recent.away++
	r.credit = min(maxCredit, r.credit+r.creditForAway)
}

// updateCredit sets how many requests may run here for each one that leaves, so that about as large a share runs here as now.
func (r *runs) updateCredit() {
	share, known := r.recent.share()
	share += creditMargin
	r.creditForAway = maxCredit
	if known && share < 1 {
		r.creditForAway = min(maxCredit, share/(1-share))
	}
}

// allowsWaiting reports whether one more request that has waited may run here. When no more requests arrive, none leaves, and those that wait would all
// run here: a window that begins then has no others.
func (r *runs) allowsWaiting() bool { return r.creditForAway >= maxCredit || r.credit >= 1 }

// allowsAway reports whether one more request may run in another failure domain, if the share of those that run here may fall by most from one window
// to the next.
func (r *runs) allowsAway(now time.Time, most float64) bool {
	r.advance(now)
	here, known := r.before.share()
	return !known || runCount{r.recent.here, r.recent.away + 1}.shareAtLeast(here-most)
}

// allowsHere reports whether one more request may run here, if the share of those that do may rise by most from one window to the next.
func (r *runs) allowsHere(now time.Time, most float64) bool {
	r.advance(now)
	here, known := r.before.share()
	return !known || !runCount{r.recent.here + 1, r.recent.away}.shareAtLeast(here+most)
}

// share returns the part of the requests that run here, and whether they are enough to tell.
func (c runCount) share() (here float64, known bool) {
	total := c.here + c.away
	return float64(c.here) / float64(max(1, total)), total >= minLimitedRuns
}

func (c runCount) shareAtLeast(share float64) bool {
	return float64(c.here) >= share*float64(c.here+c.away)
}
