package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
)

// stream sends parts of a response, of part bytes each, through a pacer until the fleet stops. rate limits the stream in
// bytes/s; 0 means no limit.
func (f *fleet) stream(p *Pacer, part, rate int) {
	f.done.Go(func() {
		for f.ctx.Err() == nil {
			if p.Pace(f.ctx, "remote", part) != nil {
				return
			}
			f.mu.Lock()
			f.uses = append(f.uses, use{time.Now(), megabits(part), f.cap.Rate})
			f.mu.Unlock()
			if rate > 0 {
				time.Sleep(time.Duration(part) * time.Second / time.Duration(rate))
			}
		}
	})
}

// Guards against responses that exceed the bandwidth of a link, with four streams per host that share a cap of 200 Mbit/s, and
// against a delay on a nearly idle link, with one slow stream per host.
func TestPacer(t *testing.T) {
	for _, tt := range []struct {
		name          string
		streams, rate int
		utilisation   float64
	}{
		{"demand above the cap", 4, 0, 0.95},
		// Six hosts with one stream of 0.5 Mbit/s each.
		{"demand below the cap", 1, 62_500, 0.95 * 6 * 0.5 * wireOverhead / 200},
	} {
		bubble.Run(t, func(t *testing.T) {
			is := is.New(t)
			c := testCap(200)
			c.Unit = UnitMegabits
			f := newFleet(t, c)
			for _, h := range f.hosts {
				p := NewPacer(h.budget, func(string) (string, bool) { return "c", true })
				for range tt.streams {
					f.stream(p, 16<<10, tt.rate)
				}
			}
			time.Sleep(5 * time.Second)
			since := time.Now()
			const span = 10 * time.Second
			time.Sleep(span)
			peak, total := f.peak(since)
			t.Logf("%s: peak %.1f Mbit in a second, utilisation %.3f", tt.name, peak, total/globalBucket(200, span))
			is.True(peak <= 200)
			is.True(total >= tt.utilisation*globalBucket(200, span))
		})
	}
}
