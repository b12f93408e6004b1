package poison

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// run returns the crash of a target in a failure domain, by a run that started and ended at the given seconds.
func run(target, failureDomain string, started, ended float64) Crash {
	at := func(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }
	return Crash{Target: target, FailureDomain: failureDomain, Started: at(started), Ended: at(ended)}
}

var epoch = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// Guards against a popular request that is refused because one failure broke the connections of many copies of it, and against a
// poison request of which the same holds but that is not recognised.
func TestStrikes(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes []Crash
		want    int
	}{
		{"none", nil, 0},
		{"one", []Crash{run("a", "d1", 0, 1)}, 1},
		{"one after the other", []Crash{run("a", "d1", 0, 1), run("b", "d1", 2, 3)}, 2},
		{"copies in one failure domain", []Crash{run("a", "d1", 0, 1), run("b", "d1", 0.5, 1.2), run("c", "d1", 0.9, 4)}, 1},
		{"copies in two failure domains", []Crash{run("a", "d1", 0, 1), run("b", "d2", 0.5, 1.2)}, 2},
		{"copies in three failure domains", []Crash{run("a", "d1", 0, 1), run("b", "d2", 0.5, 1.2), run("c", "d3", 0.5, 1.3)}, 2},
		{"copies in two failure domains, then another", []Crash{run("a", "d1", 0, 1), run("b", "d2", 0, 1.2), run("c", "d1", 2, 3)}, 3},
		{"the same target after a restart", []Crash{run("a", "d1", 0, 1), run("a", "d1", 4, 5)}, 2},
		{"the same crash reported twice", []Crash{run("a", "d1", 0, 1), run("a", "d1", 0.99, 1.02)}, 1},
		{"three", []Crash{run("a", "d1", 0, 1), run("b", "d1", 2, 3), run("c", "d1", 4, 5)}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := &record{}
			for _, crash := range c.crashes {
				r.add(crash)
			}
			is.Equal(r.strikes(), c.want)
		})
	}
}

// Guards against an innocent request that stays a suspect after a target has answered it, and against an answer that hides a later
// crash.
func TestAnswersVoidEarlierCrashes(t *testing.T) {
	is := is.New(t)
	r := &record{}
	r.add(run("a", "d1", 0, 1))
	is.True(r.answered(epoch.Add(2 * time.Second)))
	is.Equal(r.strikes(), 0)
	is.True(!r.add(run("b", "d1", 0, 1.5))) // reported late
	is.True(r.add(run("b", "d1", 2, 3)))
	is.Equal(r.strikes(), 1)
}

// Guards against hosts that judge a request differently for good, because they received the same reports in different orders.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var reports []*record
		for i := range 1 + rng.IntN(maxCrashes) {
			r := &record{}
			started := 100 * rng.Float64()
			r.add(run(strconv.Itoa(i), "d"+strconv.Itoa(rng.IntN(3)), started, started+10*rng.Float64()))
			if rng.IntN(4) == 0 {
				r.answered(epoch.Add(time.Duration(rng.IntN(100)) * time.Second))
			}
			reports = append(reports, r)
		}
		merge := func() *record {
			sum := &record{}
			for _, i := range rng.Perm(len(reports)) {
				sum.merge(reports[i])
				sum.merge(reports[rng.IntN(len(reports))]) // some arrive twice
			}
			return sum
		}
		is := is.New(t)
		a, b := merge(), merge()
		is.True(slices.Equal(a.crashes, b.crashes)) // for each seed
		is.Equal(a.answeredAt, b.answeredAt)
	}
}

// Guards against a request that is refused for ten minutes after two crashes, which may have had another reason, and against one that
// ends a target again a few seconds after the third.
func TestRefusalsGrow(t *testing.T) {
	is := is.New(t)
	r := &record{}
	r.add(run("a", "d1", 0, 1))
	is.True(r.refusedUntil(0).IsZero())
	r.add(run("b", "d1", 2, 3))
	is.Equal(r.refusedUntil(0), epoch.Add(3*time.Second+quarantine))
	is.Equal(r.refusedUntil(2), epoch.Add(3*time.Second+quarantine+2*trialSpacing))
	r.add(run("c", "d1", 14, 15))
	is.Equal(r.refusedUntil(2), epoch.Add(15*time.Second+poisonTTL))
}

// Guards against times that are shifted by the conversion of a record to a message.
func TestEncodedRecordsKeepTheirTimes(t *testing.T) {
	is := is.New(t)
	now := epoch.Add(time.Minute)
	r := &record{}
	r.answered(epoch)
	r.add(run("a", "d1", 1, 2))
	r.add(run("b", "d2", 3, 4))
	is.Equal(decode(r.encode(7, now), now), r)
	later := decode(r.encode(7, now), now.Add(time.Hour)) // the receiver's clock is an hour ahead
	is.Equal(later.crashes[0].Ended, epoch.Add(time.Hour+2*time.Second))
	is.True(decode((&record{}).encode(7, now), now).answeredAt.IsZero())
}

// Guards against a request that is never recognised again because its record is full of crashes that no longer count.
func TestOldCrashesMakeRoom(t *testing.T) {
	is := is.New(t)
	r := &record{}
	for i := range 2 * maxCrashes {
		r.add(run(strconv.Itoa(i), "d1", float64(2*i), float64(2*i)+1))
	}
	is.Equal(len(r.crashes), maxCrashes)
	is.Equal(r.lastEnd(), epoch.Add((4*maxCrashes-1)*time.Second))
	later := poisonTTL.Seconds() + 100
	is.True(r.add(run("late", "d1", later, later+1)))
	is.Equal(r.strikes(), 1) // as if it were the first
	is.True(!r.add(run("older", "d1", 0, 1)))
}
