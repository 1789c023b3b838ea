package burdocksettings

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/proof/burdockauthority"
)

// settings returns the settings of a process that signer signed and that
// trusts trusted.
func settings(t *testing.T, signer, trusted *burdockauthority.Authority) TLS {
	t.Helper()
	pair := signer.Issue(t)
	return TLS{Mode: TLSModeMutual, Cert: pair.Cert, Key: pair.Key, CA: trusted.PEM()}
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
	go acceptedEnd{accepted, answered}.run()
	clientErr = exchange(tls.Client(dialled, client))
	return <-answered, clientErr
}

// acceptedEnd is the server's end of one connection.
type acceptedEnd struct {
	conn     net.Conn
	answered chan error
}

func (e acceptedEnd) run() { e.answered <- exchange(e.conn) }

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
	ours, theirs := burdockauthority.New(t), burdockauthority.New(t)
	server, client, err := settings(t, ours, ours).Configs()
	if err != nil {
		t.Fatal(err)
	}
	// The stranger trusts us, so that only our own check can refuse it.
	otherServer, otherClient, err := settings(t, theirs, ours).Configs()
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
	ours := burdockauthority.New(t)
	good, other := settings(t, ours, ours), settings(t, ours, ours)
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
