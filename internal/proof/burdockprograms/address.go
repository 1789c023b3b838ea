package burdockprograms

import (
	"math/rand/v2"
	"net"
	"strconv"
	"testing"
)

// Ports that the programs listen on. They lie below those that the kernel
// gives to connections and to listeners that ask for any.
const (
	firstPort = 12000
	lastPort  = 31999
	portTries = 1000
)

// FreeAddress returns an address on loopback that nobody else listens on, or
// will before the end of the test.
//
// Failure: a port that was free a moment ago is given to a connection, or to a
// test in another process, before the program listens on it. Symptom: the
// program doesn't start, and a test fails that has nothing to do with it. The
// UDP port of the same number is held as a reservation that every test
// process respects.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range portTries {
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
	t.Fatalf("no free port after %d tries", portTries)
	return ""
}
