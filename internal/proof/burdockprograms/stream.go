package burdockprograms

import (
	"encoding/json"
	"strings"
)

// Stream is what a body of server-sent events holds.
type Stream struct {
	Text string
	// Done is set when the end mark came.
	Done bool
	// Problem is the code of an error event.
	Problem string
}

// ReadStream reads the events of a body.
func ReadStream(body string) Stream {
	var s Stream
	var text strings.Builder
	for line := range strings.SplitSeq(body, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			s.take(data, &text)
		}
	}
	s.Text = text.String()
	return s
}

func (s *Stream) take(data string, text *strings.Builder) {
	if data == "[DONE]" {
		s.Done = true
		return
	}
	var event struct {
		Choices []struct{ Delta struct{ Content string } }
		Error   struct{ Code string }
	}
	if json.Unmarshal([]byte(data), &event) != nil {
		s.Problem = "malformed event"
		return
	}
	if event.Error.Code != "" {
		s.Problem = event.Error.Code
	}
	for _, choice := range event.Choices {
		text.WriteString(choice.Delta.Content)
	}
}

// WholeStream reports whether an answer is the whole stream for a prompt.
func (a Answer) WholeStream(prompt string, tokens int) bool {
	s := ReadStream(a.Body)
	return a.Err == nil && a.Status == 200 && s.Done && s.Problem == "" && s.Text == ChatWords(prompt, tokens)
}
