package lookup

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/prefix"
)

// fakeView is a membership.View whose members can be replaced with set.
type fakeView struct {
	members []membership.Member
	changed chan struct{}
}

func (v *fakeView) Self() membership.Member                      { return v.members[0] }
func (v *fakeView) Domain(string) []membership.Member            { return nil }
func (v *fakeView) All() []membership.Member                     { return v.members }
func (v *fakeView) Lookup(string) (m membership.Member, ok bool) { return m, false }
func (v *fakeView) Changed() <-chan struct{}                     { return v.changed }

func (v *fakeView) set(members []membership.Member) {
	v.members = members
	close(v.changed)
	v.changed = make(chan struct{})
}

// testMembers returns perDomain members in each of the failure domains d0, d1 (region north), d2, d3 (south), d4 and d5 (west).
func testMembers(perDomain int) []membership.Member {
	var list []membership.Member
	for d := range 6 {
		for i := range perDomain {
			host := fmt.Sprintf("d%d-h%02d", d, i)
			list = append(list, membership.Member{
				Host: host, FailureDomain: fmt.Sprintf("d%d", d), Region: regionOf(d), CallerAddress: "127.0.0.1:" + host,
			})
		}
	}
	return list
}

func regionOf(d int) string { return []string{"north", "south", "west"}[d/2] }

func snapshot(version uint64, extra ...*configv1.Object) *config.Snapshot {
	objects := extra
	for d := range 6 {
		place := &configv1.Place{Name: fmt.Sprintf("d%d", d), Region: regionOf(d)}
		objects = append(objects, &configv1.Object{Kind: &configv1.Object_Place{Place: place}})
	}
	service := &configv1.Service{Name: "bookings"}
	return config.NewSnapshot(version, append(objects, &configv1.Object{Kind: &configv1.Object_Service{Service: service}}))
}

func drain(d *configv1.Drain) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Drain{Drain: d}}
}

// newHandler returns a Handler for a host in d0 and its view. The prefix table assigns 10.4.0.0/16 to d4, 10.9.0.0/16 to a site
// that does not exist, and 2001:db8::/48 to d2.
func newHandler(t *testing.T, perDomain int) (*Handler, *fakeView) {
	t.Helper()
	table, err := prefix.New(1, []prefix.Assignment{
		{Prefix: netip.MustParsePrefix("10.4.0.0/16"), Site: 4},
		{Prefix: netip.MustParsePrefix("10.9.0.0/16"), Site: 900},
		{Prefix: netip.MustParsePrefix("2001:db8::/48"), Site: 2},
	})
	if err != nil {
		t.Fatal(err)
	}
	v := &fakeView{members: testMembers(perDomain), changed: make(chan struct{})}
	o := Options{
		Members: v, Config: config.NewStore(), Prefixes: prefix.NewStore(),
		FailureDomain: "d0", Region: "north", TTL: 1500 * time.Millisecond,
	}
	o.Prefixes.Set(table)
	o.Config.Set(snapshot(1))
	return New(o), v
}

func get(t *testing.T, h http.Handler, remote string) ([]string, *httptest.ResponseRecorder) {
	t.Helper()
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, Path+"?service=bookings", nil)
	r.RemoteAddr = remote
	h.ServeHTTP(w, r)
	var body Response
	if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, host := range body.Hosts {
		names = append(names, host.Name)
		if host.Address != "127.0.0.1:"+host.Name {
			t.Fatalf("%s has the address of another host: %s", host.Name, host.Address)
		}
	}
	return names, w
}

// Guards against callers that are sent to a remote region because their block is not matched or the tiers are in the wrong
// order.
func TestClosestFirst(t *testing.T) {
	for _, c := range []struct{ name, remote, want string }{
		{"block of another region", "10.4.7.7:999", "d4 d5 d0 d1 d2 d3"},
		{"IPv4-mapped address", "[::ffff:10.4.7.7]:999", "d4 d5 d0 d1 d2 d3"},
		{"IPv6 block", "[2001:db8::1]:999", "d2 d3 d0 d1 d4 d5"},
		{"unknown IPv4 block", "127.0.0.1:999", "d0 d1 d2 d3 d4 d5"},
		{"unknown IPv6 block", "[fe80::1%eth0]:999", "d0 d1 d2 d3 d4 d5"},
		{"site without failure domain", "10.9.0.1:999", "d0 d1 d2 d3 d4 d5"},
		{"malformed address", "@", "d0 d1 d2 d3 d4 d5"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h, _ := newHandler(t, 3)
			names, w := get(t, h, c.remote)
			is.Equal(w.Code, http.StatusOK)
			is.Equal(len(names), 18)
			want := strings.Fields(c.want)
			// Failure domains of one tier alternate, so only their set is compared.
			is.Equal(distinctDomains(names[:3]), want[:1])
			is.Equal(distinctDomains(names[3:6]), want[1:2])
			if want[0] != "d0" {
				is.Equal(distinctDomains(names[6:12]), want[2:4])
				is.Equal(distinctDomains(names[12:]), want[4:])
			} else {
				is.Equal(distinctDomains(names[6:]), want[2:])
			}
		})
	}
}

func distinctDomains(hosts []string) []string {
	var list []string
	for _, h := range hosts {
		list = append(list, strings.SplitN(h, "-", 2)[0])
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Guards against leaving, dead or drained hosts in a response, also right after a change of membership or configuration,
// when the cached index is stale. Cancelled drains and drains of targets must not exclude hosts.
func TestUnusableHostsAreLeftOut(t *testing.T) {
	is := is.New(t)
	h, v := newHandler(t, 2)
	const caller = "10.4.7.7:999"
	names, _ := get(t, h, caller)
	is.Equal(len(names), 12)

	members := slices.Clone(v.members)
	members[8].State = membership.StateLeaving
	members[9].State = membership.StateSuspect
	members[0].State = membership.StateDead
	v.set(members)
	names, _ = get(t, h, caller)
	is.Equal(len(names), 10)
	is.True(!slices.Contains(names, "d4-h00"))
	is.True(!slices.Contains(names, "d0-h00"))

	h.Config.Set(snapshot(2,
		drain(&configv1.Drain{Name: "1", Subject: &configv1.Drain_Host{Host: "d4-h01"}}),
		drain(&configv1.Drain{Name: "2", Subject: &configv1.Drain_FailureDomain{FailureDomain: "d5"}, RampSeconds: 60}),
		drain(&configv1.Drain{Name: "3", Subject: &configv1.Drain_FailureDomain{FailureDomain: "d2"}, Cancelled: true}),
		drain(&configv1.Drain{Name: "4", Subject: &configv1.Drain_Target{Target: "d3-h00"}}),
	))
	names, _ = get(t, h, caller)
	is.Equal(distinctDomains(names), []string{"d0", "d1", "d2", "d3"})
	is.Equal(len(names), 7)

	h.Config.Set(snapshot(3))
	names, _ = get(t, h, caller)
	is.Equal(len(names), 10)
}

// Guards against a suspect host, which is probably dead, ahead of live hosts of its failure domain.
func TestSuspectHostsComeLast(t *testing.T) {
	h, v := newHandler(t, 5)
	names, _ := get(t, h, "127.0.0.1:1")
	first := names[0]
	members := slices.Clone(v.members)
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.Host == first })
	members[i].State = membership.StateSuspect
	v.set(members)
	names, _ = get(t, h, "127.0.0.1:1")
	is.New(t).Equal(names[4], first)
}

// Guards against an uneven distribution of blocks over hosts, an order that differs between requests or entry hosts, and the
// loss of a host that reassigns blocks of other hosts.
func TestBlocksSpreadEvenly(t *testing.T) {
	is := is.New(t)
	h, v := newHandler(t, 20)
	other, _ := newHandler(t, 20)
	const blocks = 4000
	first := map[string]int{}
	calls := 0
	firstChoice := func(h http.Handler, i int) string {
		// All addresses and ports of a block must get the same order.
		calls++
		names, _ := get(t, h, fmt.Sprintf("11.%d.%d.%d:%d", i/256, i%256, calls%256, calls%60000+1))
		return names[0]
	}
	before := make([]string, blocks)
	for i := range blocks {
		before[i] = firstChoice(h, i)
		first[before[i]]++
		if i%100 == 0 {
			is.Equal(before[i], firstChoice(other, i))
		}
	}
	is.Equal(len(first), 20)
	for _, n := range first {
		is.True(n > blocks/20*3/4)
		is.True(n < blocks/20*5/4)
	}
	lost := before[0]
	v.set(slices.DeleteFunc(slices.Clone(v.members), func(m membership.Member) bool { return m.Host == lost }))
	for i, name := range before {
		if name != lost {
			is.Equal(firstChoice(h, i), name)
		}
	}
}

// Guards against responses that grow with the number of hosts, or that list hosts of one failure domain or region only.
func TestLargeFleetIsBounded(t *testing.T) {
	is := is.New(t)
	h, _ := newHandler(t, 40)
	names, _ := get(t, h, "10.4.7.7:999")
	is.Equal(len(names), 24)
	is.Equal(distinctDomains(names[:12]), []string{"d4"})
	is.Equal(distinctDomains(names), []string{"d0", "d1", "d2", "d3", "d4", "d5"})
}

// Guards against wrong statuses, a missing or wrong TTL, and error bodies that are not JSON or may be cached.
func TestResponses(t *testing.T) {
	for _, c := range []struct {
		name, method, query string
		empty               bool
		status              int
		cache, error        string
	}{
		{"known service", "GET", "?service=bookings", false, 200, "private, max-age=2", ""},
		{"unknown service", "GET", "?service=nothing", false, 404, "no-store", "unknown service"},
		{"no service", "GET", "", false, 404, "no-store", "unknown service"},
		{"no host", "GET", "?service=bookings", true, 503, "no-store", "no live entry host"},
		{"wrong method", "POST", "?service=bookings", false, 405, "no-store", "method not allowed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h, v := newHandler(t, 1)
			if c.empty {
				v.set(nil)
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(c.method, Path+c.query, nil))
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get("Cache-Control"), c.cache)
			is.Equal(w.Header().Get("Content-Type"), "application/json")
			var body struct {
				Error      string `json:"error"`
				TTLSeconds int    `json:"ttl_seconds"`
			}
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &body))
			is.Equal(body.Error, c.error)
			is.Equal(body.TTLSeconds == 2, c.status == 200)
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	v := &fakeView{changed: make(chan struct{})}
	var objects []*configv1.Object
	for d := range 58 {
		name := fmt.Sprintf("domain-%02d", d)
		place := &configv1.Place{Name: name, Region: fmt.Sprintf("region-%02d", d/2)}
		objects = append(objects, &configv1.Object{Kind: &configv1.Object_Place{Place: place}})
		for i := range 36 {
			v.members = append(v.members, membership.Member{
				Host: fmt.Sprintf("%s-host-%02d", name, i), FailureDomain: name, Region: place.Region, CallerAddress: "127.0.0.1:80",
			})
		}
	}
	o := Options{Members: v, Config: config.NewStore(), Prefixes: prefix.NewStore(), FailureDomain: "domain-00"}
	o.Config.Set(snapshot(1, objects...))
	h := New(o)
	r := httptest.NewRequest(http.MethodGet, Path+"?service=bookings", nil)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.RemoteAddr = fmt.Sprintf("11.%d.%d.1:80", i/256%256, i%256)
		h.ServeHTTP(httptest.NewRecorder(), r)
	}
}
