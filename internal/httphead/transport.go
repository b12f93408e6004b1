package httphead

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Transport wraps a transport and returns an error in place of a response that is not valid as far as its parsed form shows.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkParsed(resp); err != nil {
		_ = resp.Body.Close()
		return nil, errors.Wrap(err, "check response")
	}
	return resp, nil
}

// checkParsed checks what the parsed form of a response still shows.
func checkParsed(resp *http.Response) error {
	if resp.ProtoMajor != 1 && resp.ProtoMajor != 2 {
		return errors.Newf("protocol %.20q: must be HTTP/1.1 or HTTP/2", resp.Proto)
	}
	return CheckStatus(resp.StatusCode)
}
