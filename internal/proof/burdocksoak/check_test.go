package burdocksoak

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
)

// checker compares what callers were told with what the upstreams counted.
type checker struct {
	fleet   *burdockprograms.Fleet
	sent    []burdockprograms.Sent
	applied int
	seen    []reading
	kinds   map[string]int
	keys    int
	runs    int
}

func (c *checker) check(t *testing.T) {
	t.Helper()
	c.kinds = map[string]int{}
	byID, byKey := c.counts()
	c.checkOnce(t, byID, byKey)
	answers := map[string]string{} // the whole answer that each key has
	for _, s := range c.sent {
		c.checkAnswer(t, s, byID, answers)
	}
	c.checkVersions(t)
	c.checkAccounts(t)
}

func (c *checker) counts() (map[burdockid.Request]int, map[burdockid.IdempotencyKey]int) {
	byID, byKey := map[burdockid.Request]int{}, map[burdockid.IdempotencyKey]int{}
	for _, a := range c.fleet.Agents {
		runs := a.Upstream.Runs()
		for id, n := range runs.Started {
			byID[id] += n
			c.runs += n
		}
		for key, n := range runs.ByKey {
			byKey[key] += n
		}
	}
	c.keys = len(byKey)
	return byID, byKey
}

// checkOnce: no request ran twice unless it may, and no key did.
func (c *checker) checkOnce(t *testing.T, byID map[burdockid.Request]int, byKey map[burdockid.IdempotencyKey]int) {
	t.Helper()
	repeatable := map[burdockid.Request]bool{}
	for _, s := range c.sent {
		if s.Prompt == string(kindIdempotent) {
			repeatable[idOf(s)] = true
		}
	}
	for id, n := range byID {
		// A request whose caller never saw its id may be an idempotent one.
		if n > 1 && !repeatable[id] && !c.unseen(id) {
			t.Errorf("request %s ran %d times, want once", id, n)
		}
	}
	for key, n := range byKey {
		if n > 1 {
			t.Errorf("key %s ran %d times, want once", key, n)
		}
	}
}

func (c *checker) unseen(id burdockid.Request) bool {
	for _, s := range c.sent {
		if idOf(s) == id {
			return false
		}
	}
	return true
}

func idOf(s burdockprograms.Sent) burdockid.Request {
	return burdockid.Request(s.Answer.Header.Get("Burdock-Request-Id"))
}

// checkAnswer: each request ended with a whole answer of its own, or with an
// error that is true.
func (c *checker) checkAnswer(t *testing.T, s burdockprograms.Sent, byID map[burdockid.Request]int, answers map[string]string) {
	t.Helper()
	a := s.Answer
	runs := byID[idOf(s)]
	switch {
	case a.Err != nil && a.Status == 0:
		c.kinds["noAnswer"]++ // its entry was killed, or the connection to it
	case a.Err != nil:
		c.kinds["cut"]++
	case a.Status == http.StatusOK:
		c.kinds["whole"]++
		c.checkWhole(t, s, runs, answers)
	case a.NotRun():
		c.kinds["notRun "+problem(a)]++
		if runs != 0 {
			t.Errorf("%s %s: told not run, ran %d times", s.Prompt, idOf(s), runs)
		}
	default:
		c.kinds["unknown "+problem(a)]++
	}
}

func problem(a burdockprograms.Answer) string {
	var body struct{ Error struct{ Code string } }
	_ = json.Unmarshal([]byte(a.Body), &body)
	return body.Error.Code
}

func (c *checker) checkWhole(t *testing.T, s burdockprograms.Sent, runs int, answers map[string]string) {
	t.Helper()
	switch kind(strings.SplitN(s.Prompt, " ", 2)[0]) {
	case kindStream:
		if !s.Answer.WholeStream(s.Prompt, s.Tokens) || runs != 1 {
			t.Errorf("%s: body %q, runs %d; want the whole answer of one run", s.Prompt, s.Answer.Body, runs)
		}
	case kindWhole:
		if !strings.Contains(s.Answer.Body, `"`+burdockprograms.ChatWords(s.Prompt, s.Tokens)+`"`) || runs != 1 {
			t.Errorf("%s: body %q, runs %d; want the whole answer of one run", s.Prompt, s.Answer.Body, runs)
		}
	case kindKeyed:
		key := s.Call.Header["Idempotency-Key"]
		if first, ok := answers[key]; ok && first != s.Answer.Body {
			t.Errorf("key %s: answers differ: %q and %q", key, first, s.Answer.Body)
		}
		answers[key] = s.Answer.Body
		if events := burdockprograms.ReadStream(s.Answer.Body); !events.Done || events.Problem != "" {
			t.Errorf("key %s: body %q, want a whole stream", key, s.Answer.Body)
		}
	default:
		if want := `"path":"` + s.Call.Path + `"`; !strings.Contains(s.Answer.Body, want) {
			t.Errorf("%s: body %q, want %s", s.Call.Path, s.Answer.Body, want)
		}
	}
}

// checkVersions: no process went back, and all hold the last edit.
func (c *checker) checkVersions(t *testing.T) {
	t.Helper()
	last := map[string]uint64{}
	for _, r := range c.seen {
		if r.version < last[r.admin] {
			t.Errorf("%s went from version %d of the profile back to %d", r.admin, last[r.admin], r.version)
		}
		last[r.admin] = r.version
	}
	want := uint64(1 + c.applied)
	for _, a := range c.fleet.Agents {
		var dump struct {
			Versions map[string]struct{ Version uint64 } `json:"versions"`
		}
		if !burdockprograms.GetJSON("http://"+a.Admin+"/state", &dump) || dump.Versions["profile/bench"].Version != want {
			t.Errorf("%s: version of the profile at the end: got %d, want %d", a.Name, dump.Versions["profile/bench"].Version, want)
		}
	}
}

// checkAccounts: each agent's own accounts add up.
func (c *checker) checkAccounts(t *testing.T) {
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
