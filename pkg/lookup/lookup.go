// Package lookup serves the HTTP endpoint from which callers get the entry hosts to use.
package lookup

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/prefix"
)

// Path is the URL path of the lookup endpoint.
const Path = "/.well-known/rattanhitch/lookup"

const (
	defaultTTL      = 30 * time.Second
	defaultMaxHosts = 24
	// retryAfterSeconds is the Retry-After header of responses with status 503; membership recovers within seconds.
	retryAfterSeconds = "1"
	// Prefix lengths, in bits, of the blocks of callers that match no entry of the prefix table.
	defaultBlockBitsIPv4 = 24
	defaultBlockBitsIPv6 = 48
)

// Options are the dependencies of a Handler.
type Options struct {
	Members  membership.View
	Config   *config.Store
	Prefixes *prefix.Store
	// FailureDomain and Region locate this host.
	FailureDomain string
	Region        string
	// TTL is how long a caller may use a response; it is rounded up to seconds. 0 means 30 s.
	TTL time.Duration
	// MaxHosts limits the number of hosts in a response; 0 means 24.
	MaxHosts int
}

// Host is an entry host in a response.
type Host struct {
	Name string `json:"name"`
	// Address is an IP address and port.
	Address string `json:"address"`
}

// Response is the body of a successful lookup. Hosts are in the order in which the caller should try them.
type Response struct {
	Service    string `json:"service"`
	TTLSeconds int    `json:"ttl_seconds"`
	Hosts      []Host `json:"hosts"`
}

// ErrorResponse is the body of any other response.
type ErrorResponse struct {
	Error   string `json:"error"`
	Service string `json:"service,omitempty"`
}

// Handler serves GET Path?service=S. It responds with status 200 and a Response, with 404 for an unknown service, or with
// 503 if there is no usable host or no configuration is loaded yet.
//
// The caller's block is the longest match of its remote address in the prefix table. The block's site is an index into the
// sorted list of failure domain names in the configuration; if the block or the site is unknown, this host's failure domain
// is used instead. Hosts are listed in this order: those of the site's failure domain, of its region, of this host's region,
// and all others. Within a failure domain, rendezvous hashing of the block determines the order: it is the same at every entry
// host, and it differs between blocks, so that the hosts share the callers evenly. Suspect hosts, and those that reach no target or have no
// processor time, follow the others of their failure domain. Leaving, dead and drained hosts are omitted.
type Handler struct {
	Options
	ttl          int
	cacheControl string
	index        indexCache
}

var _ http.Handler = (*Handler)(nil)

// New returns a Handler for o, with defaults in place of a TTL or MaxHosts of 0 or less.
func New(o Options) *Handler {
	if o.TTL <= 0 {
		o.TTL = defaultTTL
	}
	if o.MaxHosts <= 0 {
		o.MaxHosts = defaultMaxHosts
	}
	ttl := int((o.TTL + time.Second - 1) / time.Second)
	return &Handler{Options: o, ttl: ttl, cacheControl: "private, max-age=" + strconv.Itoa(ttl)}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		writeError(w, http.StatusMethodNotAllowed, ErrorResponse{Error: "method not allowed"})
		return
	}
	service := r.URL.Query().Get("service")
	x := h.index.get(&h.Options)
	if x.snapshot.Version == 0 {
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeError(w, http.StatusServiceUnavailable, ErrorResponse{Error: "no configuration is loaded yet", Service: service})
		return
	}
	if x.snapshot.Service(service) == nil {
		writeError(w, http.StatusNotFound, ErrorResponse{Error: "unknown service", Service: service})
		return
	}
	s := scratchPool.Get().(*scratch)
	defer scratchPool.Put(s)
	block, order := h.locateCaller(x, r.RemoteAddr)
	order.selectHosts(s, block, h.MaxHosts)
	if len(s.selected) == 0 {
		w.Header().Set("Retry-After", retryAfterSeconds)
		writeError(w, http.StatusServiceUnavailable, ErrorResponse{Error: "no live entry host", Service: service})
		return
	}
	// The response is private because a shared cache would return the order of one caller's block to other callers.
	w.Header().Set("Cache-Control", h.cacheControl)
	writeBody(w, http.StatusOK, s.encode(service, h.ttl))
}

// locateCaller returns a hash of the caller's block and the proximity order of its failure domain.
func (h *Handler) locateCaller(x *index, remote string) (block uint64, order *proximityOrder) {
	ap, err := netip.ParseAddrPort(remote)
	if err != nil {
		return xxhash.Sum64String(remote), x.local
	}
	address := ap.Addr().Unmap().WithZone("")
	if assigned, site, ok := h.Prefixes.Table().Match(address); ok {
		if int(site) < len(x.bySite) {
			return hashBlock(assigned), x.bySite[site]
		}
		return hashBlock(assigned), x.local
	}
	bits := defaultBlockBitsIPv4
	if address.Is6() {
		bits = defaultBlockBitsIPv6
	}
	defaultBlock, _ := address.Prefix(bits)
	return hashBlock(defaultBlock), x.local
}

func hashBlock(p netip.Prefix) uint64 {
	a := p.Addr().As16()
	b := append(a[:], byte(p.Bits()))
	return xxhash.Sum64(b)
}

// encode returns the JSON encoding of a Response with the hosts in s.selected. The result is valid until the next use of s.
func (s *scratch) encode(service string, ttl int) []byte {
	name, _ := json.Marshal(service)
	b := append(s.body[:0], `{"service":`...)
	b = append(b, name...)
	b = append(b, `,"ttl_seconds":`...)
	b = strconv.AppendInt(b, int64(ttl), 10)
	b = append(b, `,"hosts":`...)
	separator := byte('[')
	for _, host := range s.selected {
		b = append(b, separator)
		b = append(b, host.encoded...)
		separator = ','
	}
	s.body = append(b, "]}"...)
	return s.body
}

func writeError(w http.ResponseWriter, status int, body ErrorResponse) {
	w.Header().Set("Cache-Control", "no-store")
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "encode response", http.StatusInternalServerError)
		return
	}
	writeBody(w, status, data)
}

func writeBody(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
