package httpkv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/httphead"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

const (
	// callTimeout limits one call. A call that takes longer fails as if the platform were unavailable.
	callTimeout = 3 * time.Second
	// dialTimeout limits the time for opening a connection.
	dialTimeout = time.Second
	// maxResponseBytes limits one response body, so that a faulty platform can't exhaust the memory of a host.
	maxResponseBytes = 64 << 20
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 64 << 10
	// maxIdleConns limits the idle connections to the platform.
	maxIdleConns = 8
	// idleConnTimeout is the time after which an idle connection is closed.
	idleConnTimeout = 90 * time.Second
)

// Client implements store.Platform over HTTP.
type Client struct {
	base   string
	client *http.Client
}

var _ store.Platform = (*Client)(nil)

func init() {
	store.RegisterDriver("httpkv", func(base string) (store.Platform, error) { return New(base) })
}

// New returns a client of the platform at a URL. It fails unless the scheme is http or https.
func New(base string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrapf(err, "platform URL %q", base)
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, errors.Newf("platform URL %q: must be http://host:port or https://host:port", base)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	// Redirects are not followed, because a write would be sent a second time.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{base: base, client: &http.Client{Transport: httphead.Transport{Base: transport}, CheckRedirect: noRedirect}}, nil
}

// Get returns a row.
func (c *Client) Get(ctx context.Context, key string) (store.Row, error) {
	var row Row
	err := c.read(ctx, PathRow, url.Values{"key": {key}}, &row)
	return store.Row(row), err
}

// Scan returns rows in key order.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var response Rows
	if err := c.read(ctx, PathScan, query, &response); err != nil {
		return nil, err
	}
	rows := make([]store.Row, 0, len(response.Rows))
	for _, row := range response.Rows {
		rows = append(rows, store.Row(row))
	}
	return rows, nil
}

// Commit applies a transaction.
func (c *Client) Commit(ctx context.Context, txn store.Txn) error {
	body, err := json.Marshal(EncodeTxn(txn))
	if err != nil {
		return errors.Wrap(err, "encode transaction")
	}
	_, err = c.call(ctx, http.MethodPost, PathCommit, nil, body)
	return err
}

// GetObject returns an object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, PathObject, url.Values{"name": {name}}, nil)
}

// PutObject stores an object.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.call(ctx, http.MethodPut, PathObject, url.Values{"name": {name}}, data)
	return err
}

// DeleteObject removes an object; it is not an error if there is none. Errors: store.ErrUnavailable,
// store.ErrUnknownOutcome; repeating it is safe.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	_, err := c.call(ctx, http.MethodDelete, PathObject, url.Values{"name": {name}}, nil)
	return err
}

// Hosts returns the host list.
func (c *Client) Hosts(ctx context.Context) ([]store.HostEntry, error) {
	var response Hosts
	err := c.read(ctx, PathHosts, nil, &response)
	return response.Hosts, err
}

// Announce adds or refreshes an entry of the host list. An unknown outcome is reported as store.ErrUnavailable.
func (c *Client) Announce(ctx context.Context, entry store.HostEntry) error {
	body, err := json.Marshal(entry)
	if err != nil {
		return errors.Wrap(err, "encode host entry")
	}
	_, err = c.call(ctx, http.MethodPost, PathHosts, nil, body)
	if errors.Is(err, store.ErrUnknownOutcome) {
		// Callers repeat the announcement anyway, and repeating it is safe, so they need not handle an unknown outcome.
		return errors.Mark(err, store.ErrUnavailable)
	}
	return err
}

func (c *Client) read(ctx context.Context, path string, query url.Values, into any) error {
	body, err := c.call(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Mark(errors.Wrapf(err, "decode answer of %s", path), store.ErrUnavailable)
	}
	return nil
}

// call sends one request and returns the body of a response with status 2xx. A write that got such a status has succeeded even
// if its response body cannot be read.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var sent sentTracker
	req, err := http.NewRequestWithContext(sent.trace(ctx), method, c.base+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "request %s", path)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, transportError(err, method, sent.connected())
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxResponseBytes))
	if resp.StatusCode/100 == 2 && (err == nil || method != http.MethodGet) {
		return respBody, nil
	}
	if err != nil {
		return nil, transportError(err, method, true)
	}
	return nil, responseError(resp.StatusCode, respBody, method)
}
