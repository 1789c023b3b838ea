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

// isInline reports whether a setting contains PEM text rather than a path.
func isInline(setting string) bool {
	return strings.HasPrefix(strings.TrimSpace(setting), pemStart)
}

// tls checks the settings as far as possible without reading files.
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

// Configs returns the TLS configurations for a server and for a client, for connections
// between the system's processes.
//
// A peer is authenticated by a certificate of the site's own certificate authority, not
// by its name or IP address: VMs are replaced at any time, and a new VM has a new address.
// This is sufficient as long as the authority signs only for the system's processes.
// With a leaked key, an attacker can impersonate any of them until the authority is
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
		// Go can skip the host name check (see above) only together with the check
		// of the certificate chain. VerifyConnection checks the chain instead.
		InsecureSkipVerify: true,
		VerifyConnection:   func(state tls.ConnectionState) error { return verifyServer(state, pool) },
	}
	return server, client, nil
}

func (t TLS) load() (tls.Certificate, *x509.CertPool, error) {
	var pems [3][]byte
	for i, setting := range []string{t.Cert, t.Key, t.CA} {
		pem, err := readPEM(setting)
		if err != nil {
			return tls.Certificate{}, nil, err
		}
		pems[i] = pem
	}
	pair, err := tls.X509KeyPair(pems[0], pems[1])
	if err != nil {
		return tls.Certificate{}, nil, ErrTLS.Wrap(err, "loading the key pair of tls.cert and tls.key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pems[2]) {
		return tls.Certificate{}, nil, ErrTLS.New("tls.ca contains no certificate")
	}
	return pair, pool, nil
}

func readPEM(setting string) ([]byte, error) {
	if isInline(setting) {
		return []byte(setting), nil
	}
	pem, err := os.ReadFile(setting)
	if err != nil {
		return nil, ErrTLS.Wrap(err, "reading a PEM file of the TLS settings")
	}
	return pem, nil
}

// verifyServer checks that a server's certificate chain ends at the site's authority.
func verifyServer(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return ErrTLS.New("the server presented no certificate")
	}
	options := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return ErrTLS.Wrap(err, "the server's certificate does not verify against the site's authority")
	}
	return nil
}
