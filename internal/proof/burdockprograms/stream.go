package burdockprograms

import (
	"encoding/json"
	"strings"
)

// Stream is the content of a body of server-sent events.
type Stream struct {
	Text string
	// Done is true if the final [DONE] event was received.
	Done bool
	// Problem is the code of an error event, or "malformed event"; empty if neither
	// was received.
	Problem string
}

// ReadStream parses the events of a body.
func ReadStream(body string) Stream {
	var s Stream
	var text strings.Builder
	for line := range strings.SplitSeq(body, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			s.addEvent(data, &text)
		}
	}
	s.Text = text.String()
	return s
}

func (s *Stream) addEvent(data string, text *strings.Builder) {
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

// WholeStream reports whether the answer is the complete stream for a Chat call with the
// same prompt and tokens.
func (a Answer) WholeStream(prompt string, tokens int) bool {
	s := ReadStream(a.Body)
	return a.Err == nil && a.Status == 200 && s.Done && s.Problem == "" && s.Text == ChatWords(prompt, tokens)
}
