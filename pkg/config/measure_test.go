package config

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/store/memory"
)

var measureAll = flag.Bool("measure-all", false, "measure with 216 hosts too")

// One-way delays of the larger of the two installations: 1.5 ms between the failure domains of a region, 35 ms between regions.
const (
	intraRegionDelay = 1500 * time.Microsecond
	interRegionDelay = 35 * time.Millisecond
	measuredEdits    = 30
)

// measuredDomains are six failure domains; the first letter of a name is the region. The platform is in region x.
var measuredDomains = []string{"x1", "x2", "y1", "y2", "z1", "z2"}

// Guards against a rate of platform reads that grows with the number of hosts, and against changes that take longer than
// inForceLimit to be in force on all hosts. It logs the figures of docs/measurements.md.
func TestMeasureDissemination(t *testing.T) {
	sizes := []int{4, 12}
	if *measureAll {
		sizes = append(sizes, 36) // takes 20 s, or minutes with the race detector
	}
	for _, perDomain := range sizes {
		t.Run(fmt.Sprint("hosts=", perDomain*len(measuredDomains)), func(t *testing.T) {
			runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) { measure(t, is, c, perDomain) })
		})
	}
}

func measure(t *testing.T, is *is.I, c *cluster, perDomain int) {
	c.delay = func(a, b *node) time.Duration {
		if a.self.FailureDomain[0] == b.self.FailureDomain[0] {
			return intraRegionDelay
		}
		return interRegionDelay
	}
	c.platform.SetFaults(memory.Faults{Delay: 2 * interRegionDelay})
	nodes := c.start(perDomain, measuredDomains...)
	waitReady(t, nodes...)
	time.Sleep(10 * time.Second)
	const idle = time.Minute
	before := c.platform.Stats().Reads
	time.Sleep(idle)
	reads := float64(c.platform.Stats().Reads-before) / idle.Seconds()

	rng := rand.New(rand.NewPCG(1, uint64(perDomain)))
	times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	for i := range measuredEdits {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
		start := time.Now()
		version := nodes[rng.IntN(len(nodes))].commit(fmt.Sprint("id-", i), putAt(place(fmt.Sprint("p", i)), 0))
		c.waitInForce(version, inForceLimit, nodes...)
		is.NoErr(times.RecordValue(time.Since(start).Microseconds()))
	}
	t.Logf("%d hosts: %.2f platform reads/s when idle; call to in force everywhere: p50 %v, max %v",
		len(nodes), reads, micros(times.ValueAtQuantile(50)), micros(times.Max()))
	is.True(reads <= 1.2*float64(len(measuredDomains))) // one poll/s per failure domain, with jitter
}

func micros(n int64) time.Duration {
	return (time.Duration(n) * time.Microsecond).Round(time.Millisecond)
}
