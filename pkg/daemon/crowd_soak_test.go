package daemon

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/rattanhitch/rattanhitch/internal/soak"
)

// crowdRounds is the number of rounds without RATTANHITCH_SOAK_ROUNDS.
const crowdRounds = 5

// Guards against kinds of clients that nobody has thought of: each round has crowds with random bytes of the forms that clients send, cut at a random
// place. The host goes on from round to round, so that what they leave behind adds up.
func TestRandomClientsStayInMemory(t *testing.T) {
	rounds, seed := soak.Parameter(t, soak.Rounds, crowdRounds), soak.Parameter(t, soak.Seed, 52)
	s := newSmallHost(t, smallHostDescriptors)
	for round := range rounds {
		rnd := rand.New(rand.NewPCG(uint64(seed), uint64(round)))
		t.Run(fmt.Sprintf("seed %d round %d", seed, round), func(t *testing.T) {
			s.t = t
			for range 1 + rnd.IntN(3) {
				s.join(s.randomCrowd(rnd))
			}
			s.check("random clients")
		})
	}
}

// randomCrowd returns a crowd that sends the same random requests, of which the last one is mostly cut.
func (s *smallHost) randomCrowd(rnd *rand.Rand) crowd {
	ports := []string{s.callers(), s.callers(), s.callers(), s.callers(), s.operators(), s.metrics(), s.hosts[0].ip + ":8082"}
	c := crowd{size: 50 + rnd.IntN(1000), address: ports[rnd.IntN(len(ports))], trickle: rnd.IntN(4) == 0, persist: rnd.IntN(2) == 0}
	var b strings.Builder
	for range 1 + rnd.IntN(3) {
		b.WriteString(randomRequest(rnd))
	}
	c.payload = b.String()
	if rnd.IntN(5) > 0 {
		c.payload = c.payload[:rnd.IntN(len(c.payload)+1)]
	}
	return c
}

// randomRequest returns a request with a random head and body.
func randomRequest(rnd *rand.Rand) string {
	head := getHead
	body := "\r\n"
	switch rnd.IntN(4) {
	case 0:
		head, body = postHead, "\r\n"+randomChunks(rnd)
	case 1:
		size := rnd.IntN(1 << (1 + rnd.IntN(20)))
		head = fmt.Sprintf("PUT /tides/x HTTP/1.1\r\nHost: tides\r\nContent-Length: %d\r\n", size)
		body += strings.Repeat("b", size)
	}
	return strings.Repeat("\r\n", rnd.IntN(3)) + head + randomFields(rnd) + body
}

// randomFields returns field lines of a random kind, mostly within the limit for a head.
func randomFields(rnd *rand.Rand) string {
	size := rnd.IntN(1 << (4 + rnd.IntN(14)))
	switch rnd.IntN(5) {
	case 0:
		return shortLines(size)
	case 1:
		return strings.Repeat("a:\r\n", size/len("a:\r\n"))
	case 2:
		return "Connection: " + strings.Repeat(",", size) + "\r\n"
	case 3:
		return "Idempotency-Key: " + strings.Repeat("k", size) + "\r\nX-Request-Id: " + strings.Repeat("i", size/2) + "\r\n"
	}
	return ""
}

// randomChunks returns a body of random chunks with a trailer.
func randomChunks(rnd *rand.Rand) string {
	var b strings.Builder
	for total, size := rnd.IntN(1<<20), 1+rnd.IntN(1<<(1+rnd.IntN(17))); total > 0 && b.Len() < 1<<21; total -= size {
		extension := strings.Repeat(";e", rnd.IntN(2)*rnd.IntN(100))
		fmt.Fprintf(&b, "%x%s\r\n%s\r\n", size, extension, strings.Repeat("b", size))
	}
	b.WriteString("0\r\n")
	if rnd.IntN(2) == 0 {
		b.WriteString(shortLines(rnd.IntN(4000)))
	}
	b.WriteString("\r\n")
	return b.String()
}
