package httphead

import (
	"io"
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
	CheckTrailer(resp)
	return resp, nil
}

// checkParsed checks what the parsed form of a response still shows.
func checkParsed(resp *http.Response) error {
	if resp.ProtoMajor != 1 && resp.ProtoMajor != 2 {
		return errors.Newf("protocol %.20q: must be HTTP/1.1 or HTTP/2", resp.Proto)
	}
	if err := CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	if hasNoEnd(resp) {
		return errors.New("the end of the body cannot be detected")
	}
	return checkNames(resp.Header)
}

// hasNoEnd reports whether the body ends with the connection, so that a part of it looks like the whole body.
func hasNoEnd(resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
	return resp.ProtoMajor == 1 && !framed && !resp.Uncompressed
}

// checkNames returns an error if a parsed header has a field whose name is not valid.
func checkNames(h http.Header) error {
	for name := range h {
		if !isToken(name) {
			return errors.Newf("field name %.40q: must be a token", name)
		}
	}
	return nil
}

// CheckTrailer makes the body of a response in chunks end with an error in place of io.EOF if its trailer has a field whose name is not valid.
func CheckTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &trailerChecker{resp.Body, resp}
	}
}

// trailerChecker is the body of a response with chunks.
type trailerChecker struct {
	io.ReadCloser
	resp *http.Response
}

func (c *trailerChecker) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := checkNames(c.resp.Trailer); invalid != nil {
			return n, errors.Wrap(invalid, "check trailer")
		}
	}
	return n, err
}
