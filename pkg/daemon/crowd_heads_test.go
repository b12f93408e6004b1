package daemon

import (
	"strings"
	"testing"
)

// Guards against clients that end a host by the memory for heads of requests: short lines take twenty times their bytes once they are parsed.
func TestHeadsOfClientsStayInMemory(t *testing.T) {
	s := newSmallHost(t, smallHostDescriptors)
	for name, c := range map[string]crowd{
		"legal, body stops short":            {size: 200, payload: postHead + shortLines(60_000) + cutBody},
		"16 KB, body stops short":            {size: 400, payload: postHead + shortLines(15_500) + cutBody},
		"16 KB, without its last line":       {size: 1500, payload: postHead + shortLines(15_500)},
		"without its last line":              {size: 400, payload: getHead + shortLines(60_000)},
		"a byte now and then":                {size: 400, payload: getHead + shortLines(60_000), trickle: true},
		"one name many times":                {size: 400, payload: postHead + strings.Repeat("a:\r\n", 15_000) + cutBody},
		"a part of the next head":            {size: 2500, payload: getHead + "\r\n" + "GET /tides/y HTTP/1.1\r\n" + shortLines(4000)},
		"a trailer of short lines":           {size: 2500, payload: postHead + "\r\n1\r\na\r\n0\r\n" + shortLines(3900)},
		"heads in succession":                {size: 1500, payload: strings.Repeat(postHead+shortLines(15_500)+"\r\n1\r\na\r\n0\r\n\r\n", 3)},
		"after empty lines and a post":       {size: 400, payload: postHead + "\r\n0\r\n\r\n" + "\r\n\r\n" + getHead + shortLines(60_000)},
		"empty members of a list":            {size: 2500, payload: postHead + "Connection: " + strings.Repeat(",", 15_500) + "\r\n" + cutBody},
		"one line without end":               {size: 2500, payload: getHead + "a: " + strings.Repeat("b", 70_000)},
		"a request line without end":         {size: 2500, payload: "GET /" + strings.Repeat("b", 70_000)},
		"empty lines without end":            {size: 2500, payload: strings.Repeat("\r\n", 35_000)},
		"empty lines without end, after one": {size: 2500, payload: postHead + "\r\n0\r\n\r\n" + strings.Repeat("\r\n", 35_000)},
		"many requests in one write":         {size: 400, payload: strings.Repeat(getHead+"\r\n", 3000)},
	} {
		t.Run(name, func(t *testing.T) {
			s.restart(t)
			c.address = s.callers()
			s.join(c)
			s.check(name)
		})
	}
}
