package burdockengine

import (
	"io"
	"net/http"
	"testing"

	"burdockbend.example/burdockbend/internal/group/burdockgroup"
	"burdockbend.example/burdockbend/internal/standin/burdockraw"
	"github.com/joomcode/errorx"
)

// Guards against an engine's answer that is passed on although its head is broken or its body cut. A
// body without a length or chunks is told by Framed.
func TestBrokenAnswerOfAnEngineIsNotPassedOn(t *testing.T) {
	for _, c := range burdockraw.BrokenAnswers(`{"choices":[]}`) {
		answer, err := NewHTTP(burdockraw.StartFixed(t, c.Answer).Address()).Do(t.Context(), Call{Method: http.MethodPost, Path: "/", Body: []byte("{}")})
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
		if err == nil && answer.Framed {
			t.Errorf("%s: got a whole answer, want an error", c.Name)
		}
	}
}

// Guards against a report or the status after an order that is believed although the answer is broken.
func TestBrokenAnswerAboutAGroupIsNoAnswer(t *testing.T) {
	for _, c := range burdockraw.BrokenAnswers(`{"life":"a"}`) {
		g := NewGroupHTTP(burdockraw.StartFixed(t, c.Answer).Address())
		if got, err := g.Counts(t.Context()); !errorx.IsOfType(err, ErrBroken) {
			t.Errorf("%s: counts: got %+v and error %v, want %v", c.Name, got, err, ErrBroken)
		}
		if got, err := g.Order(t.Context(), 1, burdockgroup.ReadStatus{}); !errorx.IsOfType(err, ErrBroken) {
			t.Errorf("%s: order: got %+v and error %v, want %v", c.Name, got, err, ErrBroken)
		}
	}
}
