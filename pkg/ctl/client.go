package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rattanhitch/rattanhitch/internal/httphead"
	"github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1/operatorv1connect"
)

// newClient returns a client of the server given by the flags.
func (o *options) newClient() (operatorv1connect.OperatorServiceClient, error) {
	tlsConfig, err := o.tlsConfig()
	if err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = tlsConfig
	httpClient := &http.Client{Transport: tokenTransport{o.token, httphead.Transport{Base: transport}}}
	return operatorv1connect.NewOperatorServiceClient(httpClient, o.server), nil
}

// tlsConfig returns the TLS configuration given by the flags. Errors are marked errUsage.
func (o *options) tlsConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if o.tlsCA != "" {
		pem, err := os.ReadFile(o.tlsCA)
		if err != nil {
			return nil, usagef("--tls-ca: %v", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, usagef("--tls-ca=%s: file contains no PEM certificate", o.tlsCA)
		}
	}
	if o.tlsCert != "" {
		pair, err := tls.LoadX509KeyPair(o.tlsCert, o.tlsKey)
		if err != nil {
			return nil, usagef("--tls-cert: %v", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// tokenTransport is an HTTP transport that adds the bearer token, if there is one, to each request.
type tokenTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.token == "" {
		return t.next.RoundTrip(r)
	}
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.token)
	return t.next.RoundTrip(r)
}

// withClient runs f with a client of the server and a context that expires after the timeout given by the flags. An error of f
// is prefixed with the URL of the server.
func (o *options) withClient(command *cobra.Command, f func(context.Context, operatorv1connect.OperatorServiceClient) error) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(command.Context(), o.timeout)
	defer cancel()
	return errors.Wrap(f(ctx, client), o.server)
}
