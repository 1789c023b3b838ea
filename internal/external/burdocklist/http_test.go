package burdocklist

import (
	"testing"

	"burdockbend.example/burdockbend/internal/standin/burdockraw"
)

// Guards against a membership list that is believed although its head is broken or its body cut.
func TestBrokenListIsNoList(t *testing.T) {
	for _, c := range burdockraw.BrokenAnswers(`[{"name":"a","state":"live"},{"name":"b","state":"live"}]`) {
		s := burdockraw.StartFixed(t, c.Answer)
		if got, err := NewHTTP("http://" + s.Address()).VMs(t.Context()); err == nil {
			t.Errorf("%s: got %+v, want an error", c.Name, got)
		}
	}
}
