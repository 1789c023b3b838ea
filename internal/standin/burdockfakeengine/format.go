package burdockfakeengine

import "strings"

// answerFormat is one of the two answer formats of the model API.
type answerFormat interface {
	complete(model string, words []string) any
	delta(model, word string, last bool) any
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

func finishReason(last bool) *string {
	if !last {
		return nil
	}
	reason := "length"
	return &reason
}

// chatFormat is the format of /v1/chat/completions.
type chatFormat struct{}

func (chatFormat) complete(model string, words []string) any {
	m := &message{Role: "assistant", Content: strings.Join(words, "")}
	return answer{
		ID: "chatcmpl-standin", Object: "chat.completion", Model: model,
		Choices: []choice{{Message: m, FinishReason: finishReason(true)}},
		Usage:   &usage{CompletionTokens: len(words)},
	}
}

func (chatFormat) delta(model, word string, last bool) any {
	return answer{
		ID: "chatcmpl-standin", Object: "chat.completion.chunk", Model: model,
		Choices: []choice{{Delta: &message{Content: word}, FinishReason: finishReason(last)}},
	}
}

// textFormat is the format of /v1/completions.
type textFormat struct{}

func (textFormat) complete(model string, words []string) any {
	return answer{
		ID: "cmpl-standin", Object: "text_completion", Model: model,
		Choices: []choice{{Text: strings.Join(words, ""), FinishReason: finishReason(true)}},
		Usage:   &usage{CompletionTokens: len(words)},
	}
}

func (textFormat) delta(model, word string, last bool) any {
	return answer{
		ID: "cmpl-standin", Object: "text_completion", Model: model,
		Choices: []choice{{Text: word, FinishReason: finishReason(last)}},
	}
}
