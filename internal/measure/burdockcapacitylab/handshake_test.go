package burdockcapacitylab

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// BenchmarkHandshake measures the cost of a mutual TLS handshake between two processes,
// for both ends together.
func BenchmarkHandshake(b *testing.B) {
	cfg := mutualTLS(b)
	var bytes atomic.Int64
	before := processCPUTime()
	for b.Loop() {
		client, server := net.Pipe()
		a, z := tls.Client(countedConn{client, &bytes}, cfg), tls.Server(countedConn{server, &bytes}, cfg)
		h := &handshake{conn: z, done: make(chan error, 1)}
		go h.run()
		if err := a.Handshake(); err != nil {
			b.Fatalf("client: %v", err)
		}
		go ticketReader{a}.run()
		if err := <-h.done; err != nil {
			b.Fatalf("server: %v", err)
		}
		_, _ = client.Close(), server.Close()
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
	b.ReportMetric(float64((processCPUTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
}

// ticketReader reads the session tickets that the server sends.
type ticketReader struct{ conn *tls.Conn }

func (r ticketReader) run() { _, _ = r.conn.Read(make([]byte, 1)) }

// handshake is the server side of one connection.
type handshake struct {
	conn *tls.Conn
	done chan error
}

func (h *handshake) run() { h.done <- h.conn.Handshake() }

// countedConn counts the bytes that one end writes.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Write implements io.Writer.
func (c countedConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// mutualTLS returns a configuration for both ends.
func mutualTLS(b *testing.B) *tls.Config {
	b.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		b.Fatalf("key: %v", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		b.Fatalf("certificate: %v", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		b.Fatalf("parse: %v", err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
		ServerName: "127.0.0.1", MinVersion: tls.VersionTLS13,
	}
}
