package burdocktransport

import (
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against heads that are judged by where the network happens to cut them, and against bodies
// that are taken for heads.
func TestHeadScannerFindsMalformedHeads(t *testing.T) {
	long := strings.Repeat("x", 3*maxScannedLine)
	for _, c := range []struct {
		name, text string
		want       bool // malformed
	}{
		{"sound", "HTTP/1.1 200 OK\r\nA: b c\r\nContent-Length: 0\r\n\r\n", false},
		{"ends of lines without a return", "HTTP/1.1 200 OK\nA: b\n\nX Y: in the body\n", false},
		{"body like a head", "HTTP/1.1 200 OK\r\n\r\nX Y: 1\r\nHTTP/1.1 000 OK\r\n", false},
		{"folded line", "HTTP/1.1 200 OK\r\nA: b\r\n c d: e\r\n\tf g: h\r\n\r\n", false},
		{"long value", "HTTP/1.1 200 OK\r\nA: " + long + " " + long + "\r\nB: c\r\n\r\n", false},
		{"interim answer", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\nX Y: body", false},
		{"blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nA b: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", false},
		{"no status", "HTTP/1.1\r\nA: b\r\n\r\n", false}, // net/http finds it
		{"status 000", "HTTP/1.1 000 OK\r\n", true},
		{"status 600", "HTTP/1.1 600\r\n", true},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\n", true},
		{"more blanks before the status", "HTTP/1.1   099 OK\r\n", true},
		{"blank in a name", "HTTP/1.1 200 OK\r\nA: b\r\nX Y: 1\r\n", true},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n", true},
		{"after a long value", "HTTP/1.1 200 OK\r\nA: " + long + "\r\nX Y: 1\r\n", true},
		{"after an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX Y: 1\r\n", true},
	} {
		var whole, bytewise headScanner
		whole.start()
		bytewise.start()
		if got := whole.scan([]byte(c.text)) != nil; got != c.want {
			t.Errorf("%s: got malformed %v, want %v", c.name, got, c.want)
		}
		if got := scanBytewise(&bytewise, c.text) != nil; got != c.want {
			t.Errorf("%s, byte by byte: got malformed %v, want %v", c.name, got, c.want)
		}
	}
}

func scanBytewise(s *headScanner, text string) error {
	r, p := iotest.OneByteReader(strings.NewReader(text)), make([]byte, 1)
	for {
		n, err := r.Read(p)
		if err != nil {
			return nil
		}
		if err := s.scan(p[:n]); err != nil {
			return err
		}
	}
}
