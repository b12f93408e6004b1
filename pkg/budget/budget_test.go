package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
)

func testCap(rate float64) Cap {
	return Cap{Name: "c", FromRegion: "r", Unit: UnitRequests, Rate: rate, Domains: []string{"x", "y"}}
}

// globalBucket returns the units that a single token bucket for all hosts admits in span: the reference for utilisation.
func globalBucket(rate float64, span time.Duration) float64 { return rate * span.Seconds() }

// Guards against a cap that is exceeded or underused without faults. With demand in one failure domain only, its holder must
// borrow the share of the other one.
func TestAgainstGlobalBucket(t *testing.T) {
	for _, rate := range []float64{7, 101} {
		for _, names := range [][]string{{"x0", "x1", "x2", "y0", "y1", "y2"}, {"x0", "x1"}} {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, testCap(rate))
				for _, name := range names {
					f.demand(name, 12, 1)
				}
				time.Sleep(5 * time.Second)
				since := time.Now()
				const span = 10 * time.Second
				time.Sleep(span)
				peak, total := f.peak(since)
				share := total / globalBucket(rate, span)
				t.Logf("cap %v, demand from %v: peak %v, utilisation %.3f", rate, names, peak, share)
				is.True(peak <= rate)
				is.True(share >= 0.95)
			})
		}
	}
}

// Guards against a window of 1 s above the cap while hosts are killed, restarted, frozen or paused, connections are cut, and
// hosts have wrong views of the membership.
func TestRandomFaultsStayUnderTheCap(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(seed, 0))
				const rate = 60
				f := newFleet(t, testCap(rate))
				for name := range f.hosts {
					f.demand(name, 6, 1)
				}
				start := time.Now()
				for range 60 {
					f.injectRandomFault(random)
					time.Sleep(time.Duration(random.Int64N(int64(800 * time.Millisecond))))
				}
				peak, total := f.peak(start)
				t.Logf("seed %d: peak %v, utilisation under faults %.2f", seed, peak, total/rate/time.Since(start).Seconds())
				is.True(peak <= rate)
			})
		})
	}
}

// Guards against a decrease of a cap that takes effect late, and an increase that takes effect before all hosts have the new
// configuration.
func TestChangedCap(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, testCap(200))
		for name := range f.hosts {
			f.demand(name, 4, 1)
		}
		time.Sleep(5 * time.Second)
		f.setRate(50)
		time.Sleep(grantHorizon + sliceTTL) // slices granted before the change have expired by then
		f.mu.Lock()
		f.uses = nil
		f.mu.Unlock()
		time.Sleep(5 * time.Second)
		peak, _ := f.peak(time.Now())
		is.True(peak <= 50)
		f.setRate(200)
		time.Sleep(raiseDelay - time.Second)
		peak, _ = f.peak(time.Now())
		is.True(peak <= 50)
		time.Sleep(5 * time.Second)
		peak, _ = f.peak(time.Now())
		is.True(peak >= 190 && peak <= 200)
	})
}

// Guards against a link that exceeds its bandwidth, or is underused, when slices have different amounts.
func TestLink(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		c := testCap(4000)
		c.Unit = UnitMegabits
		f := newFleet(t, c)
		for i, name := range []string{"x0", "x1", "x2", "y0", "y1", "y2"} {
			f.demand(name, 10, []float64{20, 2, 7.5, 20, 0.5, 20}[i])
		}
		time.Sleep(5 * time.Second)
		since := time.Now()
		time.Sleep(5 * time.Second)
		peak, total := f.peak(since)
		t.Logf("peak %.1f Mbit, utilisation %.3f", peak, total/globalBucket(4000, 5*time.Second))
		is.True(peak <= 4000)
		is.True(total >= 0.95*globalBucket(4000, 5*time.Second))
	})
}
