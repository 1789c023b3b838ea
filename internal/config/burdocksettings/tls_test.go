package burdocksettings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"testing"
	"time"
)

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
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
	return authority{cert: cert, key: key}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
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

// settings returns the settings of a process that a signed and that trusts trusted.
func (a authority) settings(t *testing.T, trusted authority) TLS {
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
	text := func(kind string, der []byte) string {
		return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
	}
	return TLS{
		Mode: TLSModeMutual,
		Cert: text("CERTIFICATE", der),
		Key:  text("PRIVATE KEY", keyDER),
		CA:   text("CERTIFICATE", trusted.cert.Raw),
	}
}

// handshake returns the error of each end.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	answered := make(chan error, 1)
	go func() { answered <- exchange(accepted) }()
	clientErr = exchange(tls.Client(dialled, client))
	return <-answered, clientErr
}

// exchange sends a byte and waits for one, as a client learns only after its
// own part of the handshake that the server has refused it.
func exchange(conn net.Conn) error {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

// A process of another site, or anyone with a certificate of another
// authority, opens a connection to an inner port, or answers in place of an
// agent. It must be turned away at the handshake, whichever end it is at, or
// it could give orders to engines or read prompts.
func TestOnlyTheSitesOwnAuthorityIsTrusted(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	server, client, err := ours.settings(t, ours).Configs()
	if err != nil {
		t.Fatal(err)
	}
	// The stranger trusts us, so that only our own check can refuse it.
	otherServer, otherClient, err := theirs.settings(t, ours).Configs()
	if err != nil {
		t.Fatal(err)
	}
	if serverErr, clientErr := handshake(t, server, client); serverErr != nil || clientErr != nil {
		t.Errorf("two of ours: errors = %v, %v, want none", serverErr, clientErr)
	}
	if serverErr, _ := handshake(t, server, otherClient); serverErr == nil {
		t.Error("a strange client: no error at our server, want one")
	}
	bare := &tls.Config{InsecureSkipVerify: true}
	if serverErr, _ := handshake(t, server, bare); serverErr == nil {
		t.Error("a client without certificate: no error at our server, want one")
	}
	if _, clientErr := handshake(t, otherServer, client); clientErr == nil {
		t.Error("a strange server: no error at our client, want one")
	}
}

func TestConfigsNeedWholeKeys(t *testing.T) {
	ours := newAuthority(t)
	good, other := ours.settings(t, ours), ours.settings(t, ours)
	for name, bad := range map[string]TLS{
		"key of another certificate": {Cert: good.Cert, Key: other.Key, CA: good.CA},
		"authority without PEM":      {Cert: good.Cert, Key: good.Key, CA: "-----BEGIN "},
		"no such file":               {Cert: good.Cert, Key: "testdata/no-such-file.pem", CA: good.CA},
	} {
		if _, _, err := bad.Configs(); err == nil {
			t.Errorf("%s: no error, want one", name)
		}
	}
}
