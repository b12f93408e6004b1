package admin

import (
	"crypto/tls"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/port"
	"github.com/rattanhitch/rattanhitch/internal/testcert"
	"github.com/rattanhitch/rattanhitch/pkg/intake"
	"github.com/rattanhitch/rattanhitch/pkg/operator"
	"github.com/rattanhitch/rattanhitch/pkg/settings"
	"github.com/rattanhitch/rattanhitch/pkg/tlsfiles"
)

// Guards against an operator port that no longer sees the certificates of operators, because the listener with the limits hides the TLS connection.
func TestCertificatesAreSeenBehindTheLimits(t *testing.T) {
	is := is.New(t)
	authority := testcert.NewAuthority(t)
	cert, key := authority.Issue(t, "localhost")
	inner, err := listen(settings.Settings{OperatorListen: "127.0.0.1:0", TLSCert: cert, TLSKey: key, TLSCA: authority.CAFile})
	is.NoErr(err)
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	server := &http.Server{Handler: withTLS(operator.Authenticate("192.0.2.1:1", "", ok))}
	limits := intake.NewBudget(intake.Limits{MemoryBytes: 64 << 20, Descriptors: 1000})
	listener := port.Limit("operators", inner, server, limits, limits.OperatorConnections())
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	loader, err := tlsfiles.NewLoader(tlsfiles.Files{Cert: cert, Key: key, CA: authority.CAFile})
	is.NoErr(err)
	_, portNumber, err := net.SplitHostPort(listener.Addr().String())
	is.NoErr(err)
	for _, known := range []bool{true, false} {
		config := loader.ClientConfig()
		config.ServerName = "localhost"
		if !known {
			config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &tls.Certificate{}, nil }
		}
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
		resp, err := client.Get("https://127.0.0.1:" + portNumber + "/")
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode == http.StatusOK, known)
	}
}
