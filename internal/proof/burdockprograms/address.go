package burdockprograms

import (
	"math/rand/v2"
	"net"
	"strconv"
	"testing"
)

// Ports that the programs listen on. They lie below the kernel's ephemeral port range,
// which serves outgoing connections and listeners on port 0.
const (
	firstPort       = 12000
	lastPort        = 31999
	maxPortAttempts = 1000
)

// FreeAddress returns a loopback address with a free TCP port, reserved until the end of
// the test.
//
// Without a reservation, a connection or a test in another process may get the port
// before the program listens on it. The program then fails to start, and with it an
// unrelated test. The reservation is the bound UDP port of the same number, which every
// test process checks.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range maxPortAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort+1)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		reservation, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			_ = reservation.Close()
			continue
		}
		_ = listener.Close()
		t.Cleanup(func() { _ = reservation.Close() })
		return address
	}
	t.Fatalf("no free port after %d attempts", maxPortAttempts)
	return ""
}
