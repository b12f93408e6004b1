// Package testcert issues TLS certificates for tests.
package testcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// validFor is the validity of certificates before and after the time of issue.
const validFor = time.Hour

// Authority is a certificate authority. Its files are in a temporary directory that is removed at the end of the test.
type Authority struct {
	// CAFile is the path of the PEM file with the authority's certificate.
	CAFile string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	dir    string
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{dir: t.TempDir()}
	a.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-validFor), NotAfter: time.Now().Add(validFor),
	}
	der := sign(t, template, template, a.key, a.key)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a.cert = cert
	a.CAFile = a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

// Issue writes a certificate and a key for a DNS name and returns the paths of their PEM files. A second call with the same name
// overwrites the files.
func (a *Authority) Issue(t testing.TB, name string) (certFile, keyFile string) {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-validFor), NotAfter: time.Now().Add(validFor),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certFile = a.write(t, name+".pem", "CERTIFICATE", sign(t, template, a.cert, key, a.key))
	return certFile, a.write(t, name+".key.pem", "EC PRIVATE KEY", keyDER)
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func sign(t testing.TB, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	return der
}

func (a *Authority) write(t testing.TB, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
