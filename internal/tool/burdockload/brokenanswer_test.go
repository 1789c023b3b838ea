package burdockload

import (
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/standin/burdockraw"
)

// Guards against broken answers that a run counts as answered. One that is cut without a length can't
// be told from a whole one.
func TestBrokenAnswerIsNotCountedAsAnswered(t *testing.T) {
	for _, c := range burdockraw.BrokenAnswers(`{"choices":[]}`) {
		if strings.Contains(c.Name, "without a length") {
			continue
		}
		s := burdockraw.StartFixed(t, c.Answer)
		client := newClient(testConfig(), s.Address())
		t.Cleanup(client.close)
		if got := client.send(t.Context(), call{kind: kindWhole, tokens: 1}, time.Now()); got.ending == endingAnswered {
			t.Errorf("%s: got it counted as answered", c.Name)
		}
	}
}
