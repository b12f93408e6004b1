package entry

import (
	"cmp"
	"encoding/base64"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// Headers of requests that hosts forward to each other. Headers with headerPrefix are removed from callers' requests and from
// targets' responses.
const (
	headerPrefix      = "Rattanhitch-"
	headerService     = "Rattanhitch-Service"
	headerHost        = "Rattanhitch-Host"
	headerIncarnation = "Rattanhitch-Incarnation"
	headerShifted     = "Rattanhitch-Shifted"
	headerMode        = "Rattanhitch-Mode"
	// headerRule and headerRoute are the rule and the route that the first host applies to the request, as protobuf messages in
	// base64. An empty route means that the request matches none.
	headerRule  = "Rattanhitch-Rule"
	headerRoute = "Rattanhitch-Route"
	// headerAttempts is the number of targets to which the forwarding host has sent the request.
	headerAttempts  = "Rattanhitch-Attempts"
	headerForwarded = "X-Forwarded-For"
)

// mode is what a forwarded request asks the receiving host to do.
type mode string

const (
	// modeRun asks to serve the request from targets of the receiving host's failure domain.
	modeRun mode = "run"
	// modeRelay asks the owner of a command's key to run the command or to return its recorded outcome.
	modeRelay mode = "relay"
)

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// endToEndHeader returns a copy of a header without hop-by-hop headers and headers between hosts. Values are shared with in.
func endToEndHeader(in http.Header) http.Header {
	out := make(http.Header, len(in)+4)
	for name, values := range in {
		if !strings.HasPrefix(name, headerPrefix) {
			out[name] = values
		}
	}
	for _, list := range in["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// requestHeader returns the header of the request to a target. The first host adds the caller's address to X-Forwarded-For.
// Values are shared with r.
func requestHeader(r *http.Request, firstHost bool) http.Header {
	out := endToEndHeader(r.Header)
	delete(out, "Expect")
	if out["User-Agent"] == nil {
		out["User-Agent"] = []string{""} // prevents net/http from adding its default
	}
	if !firstHost {
		return out
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		out[headerForwarded] = []string{strings.Join(append(slices.Clone(out[headerForwarded]), host), ", ")}
	}
	return out
}

// headerBytes returns the size of a request's header in the HTTP/1.1 wire format, with the request line.
func headerBytes(r *http.Request) int {
	return len(r.Method) + len(r.RequestURI) + len("  HTTP/1.1\r\n") + fieldBytes(r)
}

// fieldBytes returns the size of the fields of a request's header in the HTTP/1.1 wire format.
func fieldBytes(r *http.Request) int {
	const separators = 4 // ": " and CRLF
	n := len(r.Host) + len("Host: \r\n")
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + separators
		}
	}
	return n
}

// origin holds the headers by which the forwarding host identifies itself and its request.
type origin struct {
	requestID   string
	host        string
	incarnation string
	service     string
	shifted     bool
	mode        mode
	// attempts is the number of targets to which the forwarding host has sent the request.
	attempts int
	// rule and route are those that the forwarding host applies; nil if it applies none, or is too old to send them.
	rule  *configv1.Rule
	route *configv1.Route
}

// parseOrigin reads the origin of a forwarded request. It returns an error if a header is missing or invalid.
func parseOrigin(r *http.Request) (*origin, error) {
	o := &origin{
		requestID: r.Header.Get(reply.HeaderRequestID), host: r.Header.Get(headerHost),
		incarnation: r.Header.Get(headerIncarnation), service: r.Header.Get(headerService),
		shifted: r.Header.Get(headerShifted) != "", mode: mode(r.Header.Get(headerMode)),
	}
	if text := r.Header.Get(headerAttempts); text != "" {
		attempts, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return nil, errors.Newf("forwarded request after %q attempts", text)
		}
		o.attempts = int(attempts)
	}
	if err := o.readRouting(r.Header); err != nil {
		return nil, err
	}
	if o.requestID == "" || o.host == "" || o.incarnation == "" || o.service == "" {
		return nil, errors.New("forwarded request without identity")
	}
	if o.mode != modeRun && o.mode != modeRelay {
		return nil, errors.Newf("forwarded request with mode %q", o.mode)
	}
	return o, nil
}

// writeIdentity sets the response headers by which the forwarding host checks that the response belongs to its request.
func (o *origin) writeIdentity(h http.Header) {
	h.Set(reply.HeaderRequestID, o.requestID)
	h.Set(headerIncarnation, o.incarnation)
}

// readRouting reads the rule and the route of a forwarded request.
func (o *origin) readRouting(h http.Header) error {
	if text := h.Get(headerRule); text != "" {
		o.rule = &configv1.Rule{}
		if err := decodeMessage(text, o.rule); err != nil {
			return errors.Wrap(err, "forwarded request with an invalid rule")
		}
	}
	if len(h[headerRoute]) > 0 {
		o.route = &configv1.Route{}
		if err := decodeMessage(h.Get(headerRoute), o.route); err != nil {
			return errors.Wrap(err, "forwarded request with an invalid route")
		}
	}
	return nil
}

// setRouting sets the headers that readRouting reads.
func (rq *request) setRouting(h http.Header) error {
	route, err := encodeMessage(cmp.Or(rq.route, &configv1.Route{}))
	if err != nil {
		return errors.Wrap(err, "encode route")
	}
	h.Set(headerRoute, route)
	if rq.rule == nil {
		return nil
	}
	rule, err := encodeMessage(rq.rule)
	h.Set(headerRule, rule)
	return errors.Wrap(err, "encode rule")
}

func encodeMessage(m proto.Message) (string, error) {
	data, err := proto.Marshal(m)
	return base64.StdEncoding.EncodeToString(data), err
}

func decodeMessage(text string, m proto.Message) error {
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	return proto.Unmarshal(data, m)
}

// setOrigin sets the headers that identify this host and the request, its rule and its route. They are read by parseOrigin.
func (h *Handler) setOrigin(header http.Header, rq *request, id string, m mode) error {
	header.Set(reply.HeaderRequestID, id)
	header.Set(headerHost, h.opts.Self.Host)
	header.Set(headerIncarnation, strconv.FormatUint(h.opts.Self.Incarnation, 10))
	header.Set(headerService, rq.name)
	header.Set(headerMode, string(m))
	header.Set(headerAttempts, strconv.Itoa(rq.targetAttempts))
	return rq.setRouting(header)
}

// matchesForwarded reports whether the response repeats the identity of the forwarded request (see writeIdentity).
func (h *Handler) matchesForwarded(resp *http.Response, id string) bool {
	return resp.Header.Get(reply.HeaderRequestID) == id &&
		resp.Header.Get(headerIncarnation) == strconv.FormatUint(h.opts.Self.Incarnation, 10)
}
