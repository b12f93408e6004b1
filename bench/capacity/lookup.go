package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/lookup"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/prefix"
)

// staticView is a membership.View with a constant list of members. Closing changed simulates a membership change.
type staticView struct {
	members []membership.Member
	changed chan struct{}
}

func (v *staticView) Self() membership.Member                      { return v.members[0] }
func (v *staticView) Domain(string) []membership.Member            { return nil }
func (v *staticView) All() []membership.Member                     { return v.members }
func (v *staticView) Lookup(string) (m membership.Member, ok bool) { return m, false }
func (v *staticView) Changed() <-chan struct{}                     { return v.changed }

var _ membership.View = (*staticView)(nil)

// fleet returns n hosts, and a configuration with their places and one service. A failure domain has up to 36 hosts, a region two
// failure domains.
func fleet(n int) ([]membership.Member, *config.Snapshot) {
	var list []membership.Member
	var objects []*configv1.Object
	for i := range n {
		m := member(i)
		if i%36 == 0 {
			place := &configv1.Place{Name: m.GetFailureDomain(), Region: m.GetRegion()}
			objects = append(objects, &configv1.Object{Kind: &configv1.Object_Place{Place: place}})
		}
		list = append(list, membership.Member{
			Host: m.GetHost(), FailureDomain: m.GetFailureDomain(), Region: m.GetRegion(), CallerAddress: m.GetCallerAddress(),
		})
	}
	service := &configv1.Service{Name: "service-042"}
	objects = append(objects, &configv1.Object{Kind: &configv1.Object_Service{Service: service}})
	return list, config.NewSnapshot(1, objects)
}

func newLookup(n int, table *prefix.Table) (*lookup.Handler, *staticView) {
	list, snapshot := fleet(n)
	v := &staticView{list, make(chan struct{})}
	o := lookup.Options{Members: v, Config: config.NewStore(), Prefixes: prefix.NewStore(), FailureDomain: "domain-00", Region: "region-00"}
	o.Config.Set(snapshot)
	o.Prefixes.Set(table)
	return lookup.New(o), v
}

// countingWriter is an http.ResponseWriter that discards the body and counts its bytes.
type countingWriter struct {
	header http.Header
	bytes  int
}

func (d *countingWriter) Header() http.Header { return d.header }
func (d *countingWriter) WriteHeader(int)     {}
func (d *countingWriter) Write(p []byte) (int, error) {
	d.bytes += len(p)
	return len(p), nil
}

func measureLookup(s *settings) []*series {
	const size = "hosts"
	handler := &series{name: "lookup handler", size: size, unit: "us CPU"}
	rate := &series{name: "lookup handler, responses per second per core", size: size, unit: "1/s"}
	whole := &series{name: "lookup over loopback HTTP, server and client", size: size, unit: "us CPU"}
	bytes := &series{name: "response body", size: size, unit: "B"}
	reindex := &series{name: "index after a membership change", size: size, unit: "us CPU"}
	counts := s.blockCounts()
	list := assignments(counts[len(counts)-1], typicalBlock)
	table := must(prefix.New(1, list))
	for _, n := range []int{22, 72, 288, 1044, 2088} {
		h, v := newLookup(n, table)
		w := &countingWriter{header: http.Header{}}
		requests := make([]*http.Request, 4096)
		for i := range requests {
			a := list[i*len(list)/len(requests)].Prefix.Addr()
			requests[i] = &http.Request{
				Method: http.MethodGet, URL: &url.URL{Path: lookup.Path, RawQuery: "service=service-042"},
				RemoteAddr: net.JoinHostPort(a.String(), "4711"),
			}
		}
		cost := cpuPerOp(s.minCPUTime, func(k int) {
			for i := range k {
				h.ServeHTTP(w, requests[i%len(requests)])
			}
		})
		handler.add(n, 1e6*cost)
		rate.add(n, 1/cost)
		w.bytes = 0
		h.ServeHTTP(w, requests[0])
		bytes.add(n, float64(w.bytes))
		whole.add(n, 1e6*cpuPerHTTPRequest(s, h))
		reindex.add(n, 1e6*(cpuPerOp(s.minCPUTime, func(k int) {
			for range k {
				closed := v.changed
				v.changed = make(chan struct{})
				close(closed)
				h.ServeHTTP(w, requests[0])
			}
		})-cost))
	}
	printBlocksPerHost(table)
	return []*series{handler, rate, whole, bytes, reindex}
}

// cpuPerHTTPRequest returns the CPU time of one request over a keep-alive connection, client and server, in seconds.
func cpuPerHTTPRequest(s *settings, h http.Handler) float64 {
	server := httptest.NewServer(h)
	defer server.Close()
	conn := must(net.Dial("tcp", server.Listener.Addr().String()))
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request := []byte("GET " + lookup.Path + "?service=service-042 HTTP/1.1\r\nHost: h\r\n\r\n")
	return cpuPerOp(s.minCPUTime, func(k int) {
		for range k {
			must(conn.Write(request))
			response := must(http.ReadResponse(reader, nil))
			must(io.Copy(io.Discard, response.Body))
		}
	})
}

// printBlocksPerHost prints how evenly lookups distribute the client blocks of a failure domain over its hosts.
func printBlocksPerHost(table *prefix.Table) {
	fmt.Println("| hosts | blocks | most blocks on one host / mean | fewest / mean |")
	fmt.Println("| --- | --- | --- | --- |")
	for _, n := range []int{20, 36} {
		h, _ := newLookup(n, table)
		for _, blocks := range []int{1000, 10_000, 100_000} {
			first := map[string]int{}
			for i := range blocks {
				w := httptest.NewRecorder()
				// The handler treats an address outside all blocks as part of a /24 block of its own failure domain.
				h.ServeHTTP(w, &http.Request{
					Method: http.MethodGet, URL: &url.URL{Path: lookup.Path, RawQuery: "service=service-042"},
					RemoteAddr: fmt.Sprintf("%d.%d.%d.9:1", 240+i>>16, i>>8&255, i&255),
				})
				first[firstHost(w.Body.String())]++
			}
			most, fewest := 0, math.MaxInt
			for _, count := range first {
				most, fewest = max(most, count), min(fewest, count)
			}
			if len(first) < n {
				fewest = 0
			}
			mean := float64(blocks) / float64(n)
			fmt.Printf("| %d | %d | %.2f | %.2f |\n", n, blocks, float64(most)/mean, float64(fewest)/mean)
		}
	}
}

// firstHost returns the name of the first host in the JSON body of a lookup response.
func firstHost(body string) (name string) {
	_, rest, _ := strings.Cut(body, `"name":"`)
	name, _, _ = strings.Cut(rest, `"`)
	return name
}
