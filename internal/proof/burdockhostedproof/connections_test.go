package burdockhostedproof

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

const (
	// fewDescriptors is what an entry may open, idleConnections how many connections come on
	// which nothing is sent.
	fewDescriptors  = 200
	idleConnections = 400
	// crowdedFor is how long callers send requests meanwhile.
	crowdedFor = 8 * time.Second
	// crowdedTries is how often a caller tries on a new connection.
	crowdedTries = 3
	// minCrowdedShare is the least part of the requests that are served.
	minCrowdedShare = 0.75
)

// limitDescriptors lowers the number of files that a process may have open.
func limitDescriptors(t *testing.T, pid int, n uint64) {
	t.Helper()
	limit := syscall.Rlimit{Cur: n, Max: n}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		t.Fatal(errno)
	}
}

// Guards against an entry whose descriptors are all taken by connections on which nothing is
// sent, so that none is left for upstreams, the store and the callers that were there before.
func TestIdleConnectionsLeaveDescriptorsForRequests(t *testing.T) {
	s := startSite(t, 1, 4, nil)
	e := s.entries[0]
	limitDescriptors(t, e.Pid(), fewDescriptors)
	before := &http.Client{Transport: &http.Transport{}, Timeout: time.Second}
	if !s.served(before, e) {
		t.Fatal("request before: got no answer, want one")
	}
	for range idleConnections {
		conn, err := net.DialTimeout("tcp", e.callers, time.Second)
		if err != nil {
			continue // refused, which costs nobody anything
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	kept, fresh, n := 0, 0, 0
	for until := time.Now().Add(crowdedFor); time.Now().Before(until); n++ {
		if s.served(before, e) {
			kept++
		}
		if s.servedOnNewConnection(e) {
			fresh++
		}
		time.Sleep(pause)
	}
	t.Logf("served of %d: %d on a connection from before, %d on new ones", n, kept, fresh)
	if want := minCrowdedShare * float64(n); float64(kept) < want || float64(fresh) < want {
		t.Errorf("served of %d: got %d on a connection from before and %d on new ones, want at least %.0f", n, kept, fresh, want)
	}
	if !e.isReady() {
		t.Error("entry is ready: got false, want true")
	}
}

// served reports whether a request gets the answer of a replica, which may be an error.
func (s *site) served(client *http.Client, e *entry) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+e.callers+"/my66/1", nil)
	if err != nil {
		return false
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Burdockbend-Attempt-Id", "crowded")
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body) // so that the connection is used again
	_ = res.Body.Close()
	return res.Header.Get("Burdockbend-Replica-Stamp") != ""
}

// servedOnNewConnection reports whether a caller that tries some times is served.
func (s *site) servedOnNewConnection(e *entry) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for range crowdedTries {
		if s.served(client, e) {
			return true
		}
	}
	return false
}
