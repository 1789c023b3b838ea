package burdockdirect

import (
	"context"
	"fmt"
	"net/http"
	"testing"
)

// answerUnsigned answers with a status and the request's ID, but not as the upstream itself.
func answerUnsigned(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("Location", "/elsewhere/")
		w.WriteHeader(status)
	}
}

// Guards against callers that are turned away for good by something in front of or in place
// of an upstream, which has judged a request that the upstream never saw.
func TestAnswerNotFromUpstreamIsNotPassedOn(t *testing.T) {
	for _, status := range []int{
		http.StatusMovedPermanently, http.StatusNotModified, http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden,
		http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusConflict, http.StatusLengthRequired,
		http.StatusRequestEntityTooLarge, http.StatusExpectationFailed, http.StatusInternalServerError,
	} {
		for _, c := range []struct {
			path       string
			wantStatus int
			wantRuns   int
		}{
			{"/once/", http.StatusBadGateway, 1},
			{"/again/", http.StatusBadGateway, 2},
			{"/stream/", http.StatusBadGateway, 2},
		} {
			t.Run(fmt.Sprint(status, c.path), func(t *testing.T) {
				a, b := newUpstream(t, answerUnsigned(status)), newUpstream(t, answerUnsigned(status))
				f := newFixture(t, testTimeout, a, b)
				if got := f.send(t, context.Background(), c.path, nil); got.status != c.wantStatus {
					t.Errorf("got status %d, want %d", got.status, c.wantStatus)
				}
				if got := a.seen() + b.seen(); got != c.wantRuns {
					t.Errorf("got %d runs, want %d", got, c.wantRuns)
				}
			})
		}
	}
}

// Guards against an idempotent request that is turned away although a sound upstream is
// left.
func TestRequestGoesOnToSoundUpstream(t *testing.T) {
	for range 10 {
		f := newFixture(t, testTimeout, newUpstream(t, answerUnsigned(http.StatusNotFound)), newUpstream(t, answerOK))
		if got := f.send(t, context.Background(), "/again/", nil); got.status != http.StatusOK || got.body != "whole answer" {
			t.Errorf("got status %d and body %q, want the sound upstream's answer", got.status, got.body)
		}
	}
}
