package burdockstore

import (
	"testing"

	"burdockbend.example/burdockbend/internal/standin/burdockraw"
	"github.com/joomcode/errorx"
)

// Guards against a store's answer that is believed although its head is broken or its body cut.
func TestBrokenAnswerOfTheStoreIsNoAnswer(t *testing.T) {
	for _, c := range burdockraw.BrokenAnswers(`{"key":"k","value":"MQ==","revision":3}`) {
		s := burdockraw.StartFixed(t, c.Answer)
		if got, err := NewHTTP([]string{s.Address()}).Get(t.Context(), "k"); !errorx.IsOfType(err, ErrUnavailable) {
			t.Errorf("%s: got %+v and error %v, want %v", c.Name, got, err, ErrUnavailable)
		}
	}
}
