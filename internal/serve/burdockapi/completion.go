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
	// bytesPerToken is the typical size of a prompt token. The queue needs a cost
	// estimate before the engine has counted the tokens, and corrects it afterwards.
	bytesPerToken = 4
	// defaultMaxTokens is assumed if the caller sets no limit on the answer.
	defaultMaxTokens = 256
	// maxTokensBound caps the caller's token limit, far above the length of any answer.
	// Callers may send any number; without the cap, the sum of prompt and answer tokens
	// could overflow to a negative cost, which the queue charges as almost nothing.
	maxTokensBound = 1 << 20
)

// Completion holds the fields of a model request that the balancer uses. The body is
// forwarded to the engine unchanged.
type Completion struct {
	Model  string
	Prompt string // raw JSON of the prompt or messages; its prefixes are hashed
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

// ParseCompletion parses and validates a request body of the model API.
func ParseCompletion(path, contentType string, body []byte) (Completion, *Problem) {
	if media, _, err := mime.ParseMediaType(contentType); err != nil || media != "application/json" {
		return Completion{}, &Problem{
			Status: http.StatusUnsupportedMediaType, Code: CodeBadContentType, NotRun: true,
			Message: "Content-Type must be application/json",
		}
	}
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Completion{}, badRequest("", jsonErrorMessage(err))
	}
	if b.Model == "" {
		return Completion{}, badRequest("model", "model must be named")
	}
	prompt, problem := extractPrompt(path, b)
	if problem != nil {
		return Completion{}, problem
	}
	c := Completion{
		Model:        b.Model,
		Prompt:       prompt,
		Stream:       b.Stream,
		PromptTokens: burdockid.Tokens(len(prompt)/bytesPerToken + 1),
		MaxTokens:    defaultMaxTokens,
	}
	for _, limit := range []*int64{b.MaxTokens, b.MaxCompletionTokens} {
		if limit == nil {
			continue
		}
		if *limit < 1 {
			return Completion{}, badRequest("max_tokens", "max_tokens must be 1 or more")
		}
		c.MaxTokens = burdockid.Tokens(min(*limit, maxTokensBound))
	}
	return c, nil
}

func extractPrompt(path string, b completionBody) (string, *Problem) {
	if path == PathChat {
		if len(b.Messages) == 0 || b.Messages[0] != '[' || strings.TrimSpace(string(b.Messages[1:len(b.Messages)-1])) == "" {
			return "", badRequest("messages", "messages must be a list with at least one message")
		}
		return string(b.Messages), nil
	}
	if len(b.Prompt) == 0 || string(b.Prompt) == "null" {
		return "", badRequest("prompt", "prompt must be given")
	}
	return string(b.Prompt), nil
}

func badRequest(param, message string) *Problem {
	return &Problem{Status: http.StatusBadRequest, Code: CodeBadRequest, Param: param, Message: message, NotRun: true}
}

func jsonErrorMessage(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return wrongType.Field + " must not be a " + wrongType.Value
	}
	return "the body is not valid JSON: " + err.Error()
}
