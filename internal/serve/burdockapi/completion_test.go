package burdockapi

import "testing"

// FuzzParseCompletion parses arbitrary bodies. An accepted request has a model, a prompt
// and a positive cost; a rejected one gets a 4xx status and is marked as not run.
func FuzzParseCompletion(f *testing.F) {
	f.Fuzz(func(t *testing.T, path, contentType string, body []byte) {
		c, problem := ParseCompletion(path, contentType, body)
		if problem != nil {
			if !problem.NotRun || problem.Status < 400 || problem.Status > 499 {
				t.Errorf("problem: got status %d not run %v, want a 4xx status and not run", problem.Status, problem.NotRun)
			}
			return
		}
		if c.Model == "" || c.Prompt == "" {
			t.Errorf("got model %q prompt %q, want both set", c.Model, c.Prompt)
		}
		if cost := c.PromptTokens + c.MaxTokens; c.PromptTokens < 1 || c.MaxTokens < 1 || cost < 1 {
			t.Errorf("got prompt tokens %d, answer tokens %d, cost %d; want each 1 or more", c.PromptTokens, c.MaxTokens, cost)
		}
	})
}
