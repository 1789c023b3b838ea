package burdockapi

import (
	"encoding/json"
	"errors"
	"mime"
	"net/http"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// Paths of the model API.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
)

const (
	// bytesPerToken is a usual size of a token in a prompt. The queue needs a
	// cost before the engine has counted, and corrects it afterwards.
	bytesPerToken = 4
	// usualMaxTokens stands in when the caller sets no bound on the answer.
	usualMaxTokens = 256
	// mostTokens bounds what one limit adds to the cost, far above any answer.
	// A caller may write any number; without the bound, prompt and answer could
	// sum to a cost below 0, which the queue charges as next to nothing.
	mostTokens = 1 << 20
)

// Completion is what the balancer needs to know of a model request. The body
// goes on to the engine unchanged.
type Completion struct {
	Model  string
	Prompt string // the text that prefixes are hashed from
	Stream bool
	// PromptTokens and MaxTokens are estimates.
	PromptTokens burdockid.Tokens
	MaxTokens    burdockid.Tokens
}

type completionBody struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
}

// ParseCompletion reads a body of the model API.
func ParseCompletion(path, contentType string, body []byte) (Completion, *Problem) {
	if media, _, err := mime.ParseMediaType(contentType); err != nil || media != "application/json" {
		return Completion{}, &Problem{
			Status: http.StatusUnsupportedMediaType, Code: CodeBadContentType, NotRun: true,
			Message: "Content-Type must be application/json",
		}
	}
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Completion{}, invalid("", jsonMessage(err))
	}
	if b.Model == "" {
		return Completion{}, invalid("model", "model must be named")
	}
	prompt, problem := promptOf(path, b)
	if problem != nil {
		return Completion{}, problem
	}
	c := Completion{
		Model:        b.Model,
		Prompt:       prompt,
		Stream:       b.Stream,
		PromptTokens: burdockid.Tokens(len(prompt)/bytesPerToken + 1),
		MaxTokens:    usualMaxTokens,
	}
	for _, limit := range []*int64{b.MaxTokens, b.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit < 1 {
			return Completion{}, invalid("max_tokens", "max_tokens must be 1 or more")
		}
		c.MaxTokens = burdockid.Tokens(min(*limit, mostTokens))
	}
	return c, nil
}

func promptOf(path string, b completionBody) (string, *Problem) {
	if path == PathChat {
		if len(b.Messages) == 0 || b.Messages[0] != '[' || strings.TrimSpace(string(b.Messages[1:len(b.Messages)-1])) == "" {
			return "", invalid("messages", "messages must be a list with at least one message")
		}
		return string(b.Messages), nil
	}
	if len(b.Prompt) == 0 || string(b.Prompt) == "null" {
		return "", invalid("prompt", "prompt must be given")
	}
	return string(b.Prompt), nil
}

func invalid(param, message string) *Problem {
	return &Problem{Status: http.StatusBadRequest, Code: CodeBadRequest, Param: param, Message: message, NotRun: true}
}

func jsonMessage(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return wrongType.Field + " must not be a " + wrongType.Value
	}
	return "the body is not valid JSON: " + err.Error()
}
