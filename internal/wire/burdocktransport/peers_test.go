package burdocktransport

import (
	"io"
	"strings"
	"testing"

	"burdockbend.example/burdockbend/internal/standin/burdockraw"
)

// Guards against broken answers that entries and agents believe of each other. Messages between them
// have a length or come in chunks.
func TestBrokenAnswerOfAPeerIsNotRead(t *testing.T) {
	peers := NewPeers(nil)
	t.Cleanup(peers.DropIdle)
	for _, c := range burdockraw.BrokenAnswers("{}") {
		if strings.Contains(c.Name, "without a length") {
			continue
		}
		server := burdockraw.StartFixed(t, c.Answer)
		res, err := peers.Client.Get(peers.URL(server.Address()))
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
		if err == nil {
			t.Errorf("%s: got a whole answer, want an error", c.Name)
		}
	}
}
