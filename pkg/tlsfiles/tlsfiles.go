// Package tlsfiles builds TLS configurations from PEM files and reads the files again when they change.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
)

// checkInterval limits how often the files are examined, so that a burst of handshakes costs few system calls.
const checkInterval = time.Second

// Files names the PEM files.
type Files struct {
	Cert string
	Key  string
	// CA holds the authorities that sign the certificates of the other side; empty means that none is asked for.
	CA string
}

// Loader holds the certificate and the authorities that were last read without error.
type Loader struct {
	files Files

	mu        sync.Mutex
	lastCheck time.Time
	stamp     modTimes
	cert      *tls.Certificate
	pool      *x509.CertPool
	lastErr   error
}

// modTimes tells whether the files changed.
type modTimes [3]time.Time

// NewLoader reads the files. It fails if one can't be read or parsed.
func NewLoader(files Files) (*Loader, error) {
	l := &Loader{files: files}
	if err := l.load(); err != nil {
		return nil, err
	}
	return l, nil
}

// ServerConfig returns a configuration for a listener. With a CA file, clients are asked for a certificate as auth says.
func (l *Loader) ServerConfig(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := l.current()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}}
			if pool != nil {
				c.ClientAuth = auth
				c.ClientCAs = pool
			}
			return c, nil
		},
	}
}

// ClientConfig returns a configuration for connections to other hosts. Hosts are dialled by IP number, so the certificate
// chain is verified against the CA file, and the peer's name is checked when the session opens.
func (l *Loader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := l.current()
			return cert, nil
		},
		// The standard check needs a server name, and the authorities may have been replaced since the start.
		InsecureSkipVerify: true,
		VerifyConnection:   l.verify,
	}
}

// PeerConfig returns a configuration for both sides of connections between hosts. With a CA file, both must present a
// certificate that it signs.
func (l *Loader) PeerConfig() *tls.Config {
	c := l.ClientConfig()
	c.GetConfigForClient = l.ServerConfig(tls.RequireAndVerifyClientCert).GetConfigForClient
	return c
}

func (l *Loader) verify(state tls.ConnectionState) error {
	_, pool := l.current()
	if pool == nil {
		return nil
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	options := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return steperr.Wrap(err, "verify certificate", "")
}

// LastError returns the error of the last attempt to read changed files, or nil. The previous certificate stays in use.
func (l *Loader) LastError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastErr
}

func (l *Loader) current() (*tls.Certificate, *x509.CertPool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.lastCheck) >= checkInterval && l.readStamp() != l.stamp {
		l.lastErr = l.load()
	}
	return l.cert, l.pool
}

// load reads the files; the caller holds mu, except in NewLoader.
func (l *Loader) load() error {
	l.lastCheck = time.Now()
	times := l.readStamp()
	cert, err := tls.LoadX509KeyPair(l.files.Cert, l.files.Key)
	if err != nil {
		return steperr.Wrap(err, "read certificate", l.files.Cert)
	}
	var pool *x509.CertPool
	if l.files.CA != "" {
		pem, err := os.ReadFile(l.files.CA)
		if err != nil {
			return steperr.Wrap(err, "read authorities", l.files.CA)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return steperr.New("read authorities", l.files.CA, "the file holds no certificate")
		}
	}
	l.cert, l.pool, l.stamp = &cert, pool, times
	return nil
}

func (l *Loader) readStamp() modTimes {
	l.lastCheck = time.Now()
	var s modTimes
	for i, name := range []string{l.files.Cert, l.files.Key, l.files.CA} {
		if info, err := os.Stat(name); err == nil {
			s[i] = info.ModTime()
		}
	}
	return s
}
