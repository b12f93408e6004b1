package daemon

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against clients that end a host by the memory for bodies of requests that stop just short of their end.
func TestBodiesOfClientsStayInMemory(t *testing.T) {
	const key = "POST /tides/x HTTP/1.1\r\nHost: tides\r\nTransfer-Encoding: chunked\r\nIdempotency-Key: k\r\n"
	chunk := "\r\n100000\r\n" + strings.Repeat("b", 1<<20-1) // its last byte is missing
	s := newSmallHost(t, smallHostDescriptors)
	for name, c := range map[string]crowd{
		"a chunk":                     {size: 400, payload: postHead + chunk},
		"a chunk of a command":        {size: 400, payload: key + chunk},
		"a body with a length":        {size: 400, payload: fmt.Sprintf("POST /tides/x HTTP/1.1\r\nHost: tides\r\nContent-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("b", 1<<20-1))},
		"a body that may be replayed": {size: 2500, payload: fmt.Sprintf("PUT /tides/x HTTP/1.1\r\nHost: tides\r\nContent-Length: %d\r\n\r\n%s", 64<<10, strings.Repeat("b", 64<<10-1))},
		"chunks of one byte":          {size: 400, payload: postHead + "\r\n" + strings.Repeat("1\r\nb\r\n", 65_000)},
		"chunk extensions":            {size: 400, payload: postHead + "\r\n" + strings.Repeat("1;"+strings.Repeat("e", 1000)+"\r\nb\r\n", 100)},
	} {
		t.Run(name, func(t *testing.T) {
			s.restart(t)
			c.address = s.callers()
			s.join(c)
			s.check(name)
		})
	}
}
