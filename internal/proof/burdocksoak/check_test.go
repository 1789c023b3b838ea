package burdocksoak

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
)

// checker compares the answers that callers received with the runs that the upstreams
// counted.
type checker struct {
	fleet        *burdockprograms.Fleet
	sent         []burdockprograms.Sent
	profileEdits int
	versions     []versionReading
	outcomes     map[string]int
	keys         int
	runs         int
}

func (c *checker) check(t *testing.T) {
	t.Helper()
	c.outcomes = map[string]int{}
	runsByID, runsByKey := c.countRuns()
	c.checkSingleRuns(t, runsByID, runsByKey)
	answers := map[string]string{} // the complete answer of each key
	for _, s := range c.sent {
		c.checkAnswer(t, s, runsByID, answers)
	}
	c.checkVersions(t)
	c.checkCounts(t)
}

func (c *checker) countRuns() (map[burdockid.Request]int, map[burdockid.IdempotencyKey]int) {
	runsByID, runsByKey := map[burdockid.Request]int{}, map[burdockid.IdempotencyKey]int{}
	for _, a := range c.fleet.Agents {
		runs := a.Upstream.Runs()
		for id, n := range runs.Started {
			runsByID[id] += n
			c.runs += n
		}
		for key, n := range runs.ByKey {
			runsByKey[key] += n
		}
	}
	c.keys = len(runsByKey)
	return runsByID, runsByKey
}

// checkSingleRuns checks that no idempotency key ran more than once, and no request either
// unless it is idempotent.
func (c *checker) checkSingleRuns(t *testing.T, runsByID map[burdockid.Request]int, runsByKey map[burdockid.IdempotencyKey]int) {
	t.Helper()
	idempotent := map[burdockid.Request]bool{}
	for _, s := range c.sent {
		if s.Prompt == string(kindIdempotent) {
			idempotent[requestID(s)] = true
		}
	}
	for id, n := range runsByID {
		// A request whose caller did not receive its ID may be an idempotent one.
		if n > 1 && !idempotent[id] && !c.idNotReceived(id) {
			t.Errorf("request %s ran %d times, want once", id, n)
		}
	}
	for key, n := range runsByKey {
		if n > 1 {
			t.Errorf("key %s ran %d times, want once", key, n)
		}
	}
}

func (c *checker) idNotReceived(id burdockid.Request) bool {
	for _, s := range c.sent {
		if requestID(s) == id {
			return false
		}
	}
	return true
}

func requestID(s burdockprograms.Sent) burdockid.Request {
	return burdockid.Request(s.Answer.Header.Get("Burdock-Request-Id"))
}

// checkAnswer checks that a successful answer is complete, and that a request which
// its caller was told was not run did not run.
func (c *checker) checkAnswer(t *testing.T, s burdockprograms.Sent, runsByID map[burdockid.Request]int, answers map[string]string) {
	t.Helper()
	a := s.Answer
	runs := runsByID[requestID(s)]
	switch {
	case a.Err != nil && a.Status == 0:
		c.outcomes["noAnswer"]++ // the entry or the connection to it was lost
	case a.Err != nil:
		c.outcomes["cut"]++
	case a.Status == http.StatusOK:
		c.outcomes["whole"]++
		c.checkComplete(t, s, runs, answers)
	case a.NotRun():
		c.outcomes["notRun "+errorCode(a)]++
		if runs != 0 {
			t.Errorf("%s %s: answered as not run, ran %d times", s.Prompt, requestID(s), runs)
		}
	default:
		c.outcomes["unknown "+errorCode(a)]++
	}
}

func errorCode(a burdockprograms.Answer) string {
	var body struct{ Error struct{ Code string } }
	_ = json.Unmarshal([]byte(a.Body), &body)
	return body.Error.Code
}

func (c *checker) checkComplete(t *testing.T, s burdockprograms.Sent, runs int, answers map[string]string) {
	t.Helper()
	switch kind(strings.SplitN(s.Prompt, " ", 2)[0]) {
	case kindStream:
		if !s.Answer.WholeStream(s.Prompt, s.Tokens) || runs != 1 {
			t.Errorf("%s: body %q, runs %d; want the complete answer of one run", s.Prompt, s.Answer.Body, runs)
		}
	case kindNonStream:
		if !strings.Contains(s.Answer.Body, `"`+burdockprograms.ChatWords(s.Prompt, s.Tokens)+`"`) || runs != 1 {
			t.Errorf("%s: body %q, runs %d; want the complete answer of one run", s.Prompt, s.Answer.Body, runs)
		}
	case kindKeyed:
		key := s.Call.Header["Idempotency-Key"]
		if first, ok := answers[key]; ok && first != s.Answer.Body {
			t.Errorf("key %s: answers differ: %q and %q", key, first, s.Answer.Body)
		}
		answers[key] = s.Answer.Body
		if events := burdockprograms.ReadStream(s.Answer.Body); !events.Done || events.Problem != "" {
			t.Errorf("key %s: body %q, want a complete stream", key, s.Answer.Body)
		}
	default:
		if want := `"path":"` + s.Call.Path + `"`; !strings.Contains(s.Answer.Body, want) {
			t.Errorf("%s: body %q, want %s", s.Call.Path, s.Answer.Body, want)
		}
	}
}

// checkVersions checks that no watched process returned to an older version of the
// profile, and that every agent has the last one at the end.
func (c *checker) checkVersions(t *testing.T) {
	t.Helper()
	last := map[string]uint64{}
	for _, r := range c.versions {
		if r.version < last[r.admin] {
			t.Errorf("%s went from version %d of the profile back to %d", r.admin, last[r.admin], r.version)
		}
		last[r.admin] = r.version
	}
	want := uint64(1 + c.profileEdits)
	for _, a := range c.fleet.Agents {
		var dump struct {
			Versions map[string]struct{ Version uint64 } `json:"versions"`
		}
		if !burdockprograms.GetJSON("http://"+a.Admin+"/state", &dump) || dump.Versions["profile/bench"].Version != want {
			t.Errorf("%s: version of the profile at the end: got %d, want %d", a.Name, dump.Versions["profile/bench"].Version, want)
		}
	}
}

// checkCounts checks that the outcomes that each agent counted add up to the requests
// that it was offered.
func (c *checker) checkCounts(t *testing.T) {
	t.Helper()
	for _, a := range c.fleet.Agents {
		var dump struct {
			Agent struct {
				Counts struct{ Offered, Repeated, Answered, Refused, Cut, Cancelled int }
			}
		}
		if !burdockprograms.GetJSON("http://"+a.Admin+"/state", &dump) {
			t.Errorf("%s: no state", a.Name)
			continue
		}
		n := dump.Agent.Counts
		if got, want := n.Repeated+n.Answered+n.Refused+n.Cut+n.Cancelled, n.Offered; got != want {
			t.Errorf("%s: requests accounted for: got %d, want %d (%+v)", a.Name, got, want, n)
		}
	}
}
