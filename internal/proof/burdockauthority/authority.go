// Package burdockauthority creates certificates for tests of mutual TLS.
package burdockauthority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"testing"
	"time"
)

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Cert string
	Key  string
}

// New returns a new authority with a self-signed certificate.
func New(t testing.TB) *Authority {
	t.Helper()
	key, template := newKey(t), newTemplate()
	template.IsCA, template.BasicConstraintsValid = true, true
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &Authority{cert: cert, key: key}
}

// PEM returns the authority's certificate in PEM.
func (a *Authority) PEM() string { return encodePEM("CERTIFICATE", a.cert.Raw) }

// Issue returns a new key pair whose certificate the authority has signed.
func (a *Authority) Issue(t testing.TB) Pair {
	t.Helper()
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, newTemplate(), a.cert, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return Pair{Cert: encodePEM("CERTIFICATE", der), Key: encodePEM("PRIVATE KEY", keyDER)}
}

func encodePEM(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newTemplate() *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		NotBefore:    time.Now().Add(-time.Minute),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}
