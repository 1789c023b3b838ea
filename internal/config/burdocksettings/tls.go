package burdocksettings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("burdocksettings")

// ErrTLS is the type of an error about TLS certificates or keys that can't be read or
// used.
var ErrTLS = namespace.NewType("keys")

const pemStart = "-----BEGIN "

// isInline reports whether a setting holds PEM text rather than a path.
func isInline(setting string) bool {
	return strings.HasPrefix(strings.TrimSpace(setting), pemStart)
}

// tls checks what can be checked without reading a file.
func (c *checker) tls(t TLS) {
	if t.Mode != TLSModeMutual {
		c.Add("tls.mode", "is not set to a known mode", `"mutual"`)
	}
	c.pem("tls.cert", t.Cert)
	c.pem("tls.key", t.Key)
	c.pem("tls.ca", t.CA)
	if isInline(t.Cert) && isInline(t.Key) {
		if _, err := tls.X509KeyPair([]byte(t.Cert), []byte(t.Key)); err != nil {
			c.Add("tls.cert", "does not go with tls.key: "+err.Error(), "a certificate and its key")
		}
	}
	if isInline(t.CA) && !x509.NewCertPool().AppendCertsFromPEM([]byte(t.CA)) {
		c.Add("tls.ca", "holds no certificate", "the certificate of the authority in PEM")
	}
}

func (c *checker) pem(key, value string) {
	if value == "" {
		c.Add(key, "missing", "PEM text, or the path of a PEM file")
	}
}

// Configs returns the TLS configurations of a server and of a client among
// the system's own processes.
//
// A peer is known by a certificate of the site's own authority, not by its
// IP number: VMs are replaced at any time, and a new one has a new number.
// That is enough as long as the authority signs for nobody but the system's
// processes; a key that leaks can pose as any of them until the authority is
// replaced.
func (t TLS) Configs() (server, client *tls.Config, err error) {
	pair, pool, err := t.load()
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	}
	client = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		// The check of the name is left out, as said above, and with it goes
		// the library's own check of the chain; VerifyConnection makes it.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verify(state, pool) },
	}
	return server, client, nil
}

func (t TLS) load() (tls.Certificate, *x509.CertPool, error) {
	var material [3][]byte
	for i, setting := range []string{t.Cert, t.Key, t.CA} {
		pem, err := read(setting)
		if err != nil {
			return tls.Certificate{}, nil, err
		}
		material[i] = pem
	}
	pair, err := tls.X509KeyPair(material[0], material[1])
	if err != nil {
		return tls.Certificate{}, nil, ErrTLS.Wrap(err, "tls.cert and tls.key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(material[2]) {
		return tls.Certificate{}, nil, ErrTLS.New("tls.ca holds no certificate")
	}
	return pair, pool, nil
}

func read(setting string) ([]byte, error) {
	if isInline(setting) {
		return []byte(setting), nil
	}
	pem, err := os.ReadFile(setting)
	if err != nil {
		return nil, ErrTLS.Wrap(err, "reading a key file")
	}
	return pem, nil
}

// verify checks that a server's chain ends at the site's own authority.
func verify(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return ErrTLS.New("the server showed no certificate")
	}
	options := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return ErrTLS.Wrap(err, "the server is not of this site")
	}
	return nil
}
