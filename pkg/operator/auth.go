package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	"github.com/rattanhitch/rattanhitch/pkg/settings"
)

// bearer is the scheme of the Authorization header.
const bearer = "Bearer "

// Authenticate is middleware that passes a request to next if the listener is bound to loopback, if the request carries the
// bearer token, or if the TLS listener has verified a client certificate. All other requests get an unauthenticated error; a
// listener off loopback with neither a token nor a CA file thus refuses every request.
func Authenticate(listen, token string, next http.Handler) http.Handler {
	if settings.IsLoopback(listen) {
		return next
	}
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hasToken(r, token) || hasCertificate(r) {
			next.ServeHTTP(w, r)
			return
		}
		if errorWriter.IsSupported(r) {
			_ = errorWriter.Write(w, r, connect.NewError(connect.CodeUnauthenticated, errUnauthenticated))
			return
		}
		w.Header().Set("WWW-Authenticate", strings.TrimSpace(bearer))
		http.Error(w, errUnauthenticated.Error(), http.StatusUnauthorized)
	})
}

func hasCertificate(r *http.Request) bool { return r.TLS != nil && len(r.TLS.VerifiedChains) > 0 }

// hasToken compares the hashes of the tokens in constant time, so that the response time reveals neither the token nor its
// length. An empty token never matches.
func hasToken(r *http.Request, token string) bool {
	presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok || token == "" {
		return false
	}
	a, b := sha256.Sum256([]byte(presented)), sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
