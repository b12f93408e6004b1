package tlsfiles

import (
	"crypto/tls"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/testcert"
)

func issue(t *testing.T, a *testcert.Authority, name string) Files {
	t.Helper()
	cert, key := a.Issue(t, name)
	return Files{Cert: cert, Key: key, CA: a.CAFile}
}

// handshake returns the server's certificate name and the first error of either side. It uses a TCP connection, because
// the server's session tickets would block on a synchronous pipe.
func handshake(t *testing.T, server, client *tls.Config) (string, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	serverErr := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			defer func() { _ = conn.Close() }()
		}
		serverErr <- err
	}()
	c, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	if err := <-serverErr; err != nil {
		return "", err
	}
	return c.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// Guards against a certificate that is replaced on disk but stays in use until a restart.
func TestChangedFilesAreReadAgain(t *testing.T) {
	is := is.New(t)
	a := testcert.NewAuthority(t)
	files := issue(t, a, "first")
	l, err := NewLoader(files)
	is.NoErr(err)
	name, err := handshake(t, l.PeerConfig(), l.ClientConfig())
	is.NoErr(err)
	is.Equal(name, "first")
	second := issue(t, a, "second")
	is.NoErr(os.Rename(second.Cert, files.Cert))
	is.NoErr(os.Rename(second.Key, files.Key))
	later := time.Now().Add(time.Minute)
	is.NoErr(os.Chtimes(files.Cert, later, later))
	l.lastCheck = time.Time{}
	name, err = handshake(t, l.PeerConfig(), l.ClientConfig())
	is.NoErr(err)
	is.Equal(name, "second")
}

// Guards against an unreadable replacement that takes down a working listener.
func TestBrokenReplacementKeepsPreviousCertificate(t *testing.T) {
	is := is.New(t)
	a := testcert.NewAuthority(t)
	files := issue(t, a, "first")
	l, err := NewLoader(files)
	is.NoErr(err)
	is.NoErr(os.WriteFile(files.Cert, []byte("broken"), 0o600))
	later := time.Now().Add(time.Minute)
	is.NoErr(os.Chtimes(files.Cert, later, later))
	l.lastCheck = time.Time{}
	name, err := handshake(t, l.PeerConfig(), l.ClientConfig())
	is.NoErr(err)
	is.Equal(name, "first")
	is.True(l.LastError() != nil)
}

// Guards against a host that accepts a certificate of a foreign authority.
func TestForeignAuthorityIsRefused(t *testing.T) {
	is := is.New(t)
	a, foreign := testcert.NewAuthority(t), testcert.NewAuthority(t)
	l, err := NewLoader(issue(t, a, "ours"))
	is.NoErr(err)
	other, err := NewLoader(issue(t, foreign, "theirs"))
	is.NoErr(err)
	_, err = handshake(t, other.PeerConfig(), l.ClientConfig())
	is.True(err != nil)
}
