package burdocksettings

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/proof/burdockauthority"
)

// tlsSettings returns the settings of a process whose certificate is from signer and
// that trusts the authority trusted.
func tlsSettings(t *testing.T, signer, trusted *burdockauthority.Authority) TLS {
	t.Helper()
	pair := signer.Issue(t)
	return TLS{Mode: TLSModeMutual, Cert: pair.Cert, Key: pair.Key, CA: trusted.PEM()}
}

// handshake connects a client to a server and returns the error of each.
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
	result := make(chan error, 1)
	go serverConn{accepted, result}.run()
	clientErr = exchange(tls.Client(dialled, client))
	return <-result, clientErr
}

// serverConn is the server's side of a connection.
type serverConn struct {
	conn   net.Conn
	result chan error
}

func (c serverConn) run() { c.result <- exchange(c.conn) }

// exchange writes a byte and reads one. The read is needed because in TLS 1.3 a client
// finishes its handshake before it learns that the server has rejected its certificate.
func exchange(conn net.Conn) error {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

// A process with a certificate of another authority, such as one of another site,
// connects to an internal port or answers in place of an agent. The handshake must fail
// whether it is the client or the server; otherwise it could give orders to engines or
// read prompts.
func TestOnlySiteAuthorityIsTrusted(t *testing.T) {
	site, other := burdockauthority.New(t), burdockauthority.New(t)
	server, client, err := tlsSettings(t, site, site).Configs()
	if err != nil {
		t.Fatal(err)
	}
	// The other process trusts the site, so only the site's check can reject it.
	otherServer, otherClient, err := tlsSettings(t, other, site).Configs()
	if err != nil {
		t.Fatal(err)
	}
	if serverErr, clientErr := handshake(t, server, client); serverErr != nil || clientErr != nil {
		t.Errorf("two processes of the site: errors = %v, %v, want none", serverErr, clientErr)
	}
	if serverErr, _ := handshake(t, server, otherClient); serverErr == nil {
		t.Error("client of another authority: no error at the server, want one")
	}
	noCert := &tls.Config{InsecureSkipVerify: true}
	if serverErr, _ := handshake(t, server, noCert); serverErr == nil {
		t.Error("client without a certificate: no error at the server, want one")
	}
	if _, clientErr := handshake(t, otherServer, client); clientErr == nil {
		t.Error("server of another authority: no error at the client, want one")
	}
}

func TestConfigsRejectsInvalidKeys(t *testing.T) {
	site := burdockauthority.New(t)
	good, other := tlsSettings(t, site, site), tlsSettings(t, site, site)
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
