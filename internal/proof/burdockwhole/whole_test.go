// Package burdockwhole tests the whole path of a request, from the entry through the
// agent to the engine, with the built programs as separate processes.
package burdockwhole

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"burdockbend.example/burdockbend/internal/proof/burdockprograms"
)

func TestMain(m *testing.M) {
	status := m.Run()
	burdockprograms.CleanUp()
	os.Exit(status)
}

func startFleet(t *testing.T) *burdockprograms.Fleet {
	t.Helper()
	return burdockprograms.Start(t, burdockprograms.Config{
		Models: 3, Plains: 1, Entries: 2, Slots: 8, Step: time.Millisecond, Prefill: time.Millisecond,
	})
}

func TestWholePath(t *testing.T) {
	f := startFleet(t)
	ctx := context.Background()
	for _, entry := range f.Entries {
		t.Run("chat at "+entry.Name, func(t *testing.T) { testChat(ctx, t, f, entry) })
		t.Run("stream at "+entry.Name, func(t *testing.T) { testStream(ctx, t, f, entry) })
		t.Run("plain at "+entry.Name, func(t *testing.T) { testPlain(ctx, t, f, entry) })
		t.Run("rejections at "+entry.Name, func(t *testing.T) { testRejections(ctx, t, f, entry) })
	}
	t.Run("profile", func(t *testing.T) { testProfile(t, f) })
	t.Run("state", func(t *testing.T) { testState(t, f) })
}

func testChat(ctx context.Context, t *testing.T, f *burdockprograms.Fleet, e *burdockprograms.Entry) {
	const prompt, tokens = "bias network", 12
	got := f.Send(ctx, e, burdockprograms.Chat(prompt, tokens, false))
	var answer struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.Unmarshal([]byte(got.Body), &answer); err != nil || got.Status != http.StatusOK || len(answer.Choices) != 1 {
		t.Fatalf("got status %d body %q (%v), want a completion", got.Status, got.Body, err)
	}
	if got, want := answer.Choices[0].Message.Content, burdockprograms.ChatWords(prompt, tokens); got != want {
		t.Errorf("content: got %q, want %q", got, want)
	}
}

func testStream(ctx context.Context, t *testing.T, f *burdockprograms.Fleet, e *burdockprograms.Entry) {
	const prompt, tokens = "output stage", 25
	got := f.Send(ctx, e, burdockprograms.Chat(prompt, tokens, true))
	if got.Err != nil || got.Status != http.StatusOK {
		t.Fatalf("got status %d (%v), want 200", got.Status, got.Err)
	}
	text, ended := streamText(t, got.Body)
	if want := burdockprograms.ChatWords(prompt, tokens); text != want || !ended {
		t.Errorf("stream: got %q, end marker %v, want %q and the end marker", text, ended, want)
	}
}

// streamText returns the text of a stream and whether it contains the end marker.
func streamText(t *testing.T, body string) (string, bool) {
	t.Helper()
	var text strings.Builder
	ended := false
	for line := range strings.SplitSeq(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			ended = true
			continue
		}
		var event struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) != 1 {
			t.Fatalf("event %q: %v", data, err)
		}
		text.WriteString(event.Choices[0].Delta.Content)
	}
	return text.String(), ended
}

func testPlain(ctx context.Context, t *testing.T, f *burdockprograms.Fleet, e *burdockprograms.Entry) {
	got := f.Send(ctx, e, burdockprograms.Call{Method: http.MethodPost, Path: "/model-cards/lookup?part=BC547", Body: "beta?"})
	want := `{"method":"POST","path":"/model-cards/lookup","query":"part=BC547","body":"beta?"}`
	if got.Status != http.StatusOK || got.Body != want {
		t.Errorf("got status %d body %q, want 200 %q", got.Status, got.Body, want)
	}
}

func testRejections(ctx context.Context, t *testing.T, f *burdockprograms.Fleet, e *burdockprograms.Entry) {
	chat := "/v1/chat/completions"
	cases := []struct {
		name   string
		call   burdockprograms.Call
		status int
		code   string
	}{
		{"wrong key", burdockprograms.Call{Method: "POST", Path: chat, Header: map[string]string{"Authorization": "Bearer nobody"}}, 401, "unauthenticated"},
		{"malformed JSON", burdockprograms.Call{Method: "POST", Path: chat, Body: `{"model":`}, 400, "badRequest"},
		{"no messages", burdockprograms.Call{Method: "POST", Path: chat, Body: `{"model":"x","messages":[]}`}, 400, "badRequest"},
		{"content type", burdockprograms.Call{Method: "POST", Path: chat, Body: "{}", Header: map[string]string{"Content-Type": "text/plain"}}, 415, "badContentType"},
		{"unknown model", burdockprograms.Call{Method: "POST", Path: chat, Body: `{"model":"x","messages":[{}]}`}, 404, "unknownModel"},
		{"unknown route", burdockprograms.Call{Method: "GET", Path: "/admin"}, 404, "unknownRoute"},
		{"method", burdockprograms.Call{Method: "PUT", Path: chat}, 405, "methodNotAllowed"},
		{"prompt too long", burdockprograms.Chat(strings.Repeat("long ", 10000), 1, false), 400, "promptTooLong"},
		{"class", burdockprograms.Call{Method: "GET", Path: "/licence", Header: map[string]string{"Burdock-Class": "x"}}, 400, "badRequest"},
		{"timeout", burdockprograms.Call{Method: "GET", Path: "/licence", Header: map[string]string{"Burdock-Timeout-Millis": "soon"}}, 400, "badRequest"},
	}
	for _, c := range cases {
		got := f.Send(ctx, e, c.call)
		var apiError struct{ Error struct{ Code string } }
		_ = json.Unmarshal([]byte(got.Body), &apiError)
		if got.Status != c.status || apiError.Error.Code != c.code || !got.NotRun() {
			t.Errorf("%s: got %d %q not run %v, want %d %q not run", c.name, got.Status, apiError.Error.Code, got.NotRun(), c.status, c.code)
		}
	}
}

// An operator applies a changed profile to the running fleet. Every agent reports
// version 2 in its state, and the list of profiles shows it.
func testProfile(t *testing.T, f *burdockprograms.Fleet) {
	f.ApplyProfile(t, f.ProfileTOML(77))
	f.WaitReady(t)
	for _, a := range f.Agents {
		state := f.Operate(t, "state", a.Admin)
		if want := `"profile/bench": {` + "\n      \"version\": 2"; !strings.Contains(state, want) {
			t.Errorf("state of %s does not show version 2 of the profile", a.Name)
		}
	}
	if got, want := f.Operate(t, "profile", "list", "-store", f.Store.Address), "bench    2        urgent, draft"; !strings.Contains(got, want) {
		t.Errorf("profile list: got %q, want a line %q", got, want)
	}
}

func testState(t *testing.T, f *burdockprograms.Fleet) {
	state := f.Operate(t, "state", f.Entries[0].Admin)
	for _, want := range []string{`"role": "entry"`, `"decisions"`, `"accounts"`, `"answered"`} {
		if !strings.Contains(state, want) {
			t.Errorf("state of the entry does not contain %s", want)
		}
	}
	if got, want := strings.Contains(state, f.Key), false; got != want {
		t.Errorf("state shows a customer's key: %v, want %v", got, want)
	}
}
