// Package tlsfiles builds TLS configurations from PEM files and reloads the files when they change.
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

// checkInterval is the minimum time between two checks of the files' modification times, which are made during handshakes.
const checkInterval = time.Second

// Files are the paths of the PEM files.
type Files struct {
	Cert string
	Key  string
	// CA is the file with the authorities that sign the peers' certificates. If empty, peers need no certificate.
	CA string
}

// Loader holds the certificate and the authorities of the last successful load.
type Loader struct {
	files Files

	mu        sync.Mutex
	lastCheck time.Time
	modTimes  modTimes
	cert      *tls.Certificate
	pool      *x509.CertPool
	lastErr   error
}

// modTimes are the modification times of the certificate, key and CA files. A file that cannot be examined has the zero time.
type modTimes [3]time.Time

// NewLoader loads the files. It fails if one can't be read or parsed.
func NewLoader(files Files) (*Loader, error) {
	l := &Loader{files: files}
	if err := l.load(); err != nil {
		return nil, err
	}
	return l, nil
}

// ServerConfig returns a configuration for a listener. With a CA file, client certificates are handled according to auth.
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

// ClientConfig returns a configuration for connections to other hosts. Hosts are dialled by IP number, so only the certificate
// chain is verified here, against the CA file; the peer's name is checked when the session opens. Without a CA file, nothing is
// verified.
func (l *Loader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := l.current()
			return cert, nil
		},
		// The standard verification needs a server name and cannot reload RootCAs; verify replaces it.
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

// verify checks the peer's certificate chain against the current authorities.
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

// LastError returns the error of the last reload of changed files, or nil. After a failed reload, the previous certificate and
// authorities stay in use.
func (l *Loader) LastError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastErr
}

// current returns the certificate and the authorities, after reloading the files if they have changed.
func (l *Loader) current() (*tls.Certificate, *x509.CertPool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.lastCheck) >= checkInterval && l.readModTimes() != l.modTimes {
		l.lastErr = l.load()
	}
	return l.cert, l.pool
}

// load reads the files. Callers must hold mu, except NewLoader.
func (l *Loader) load() error {
	l.lastCheck = time.Now()
	times := l.readModTimes()
	cert, err := tls.LoadX509KeyPair(l.files.Cert, l.files.Key)
	if err != nil {
		return steperr.Wrap(err, "read certificate", l.files.Cert)
	}
	var pool *x509.CertPool
	if l.files.CA != "" {
		pem, err := os.ReadFile(l.files.CA)
		if err != nil {
			return steperr.Wrap(err, "read CA file", l.files.CA)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return steperr.New("read CA file", l.files.CA, "the file contains no valid PEM certificate")
		}
	}
	l.cert, l.pool, l.modTimes = &cert, pool, times
	return nil
}

func (l *Loader) readModTimes() modTimes {
	l.lastCheck = time.Now()
	var times modTimes
	for i, name := range []string{l.files.Cert, l.files.Key, l.files.CA} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}
