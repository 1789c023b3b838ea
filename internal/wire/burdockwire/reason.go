package burdockwire

import "strings"

const refusedReasonPrefix = "REFUSED_REASON_"

// Name returns the reason in camel case, as metrics and logs show it.
func (x RefusedReason) Name() string {
	words := strings.Split(strings.ToLower(strings.TrimPrefix(x.String(), refusedReasonPrefix)), "_")
	for i, word := range words {
		if i > 0 && word != "" {
			words[i] = strings.ToUpper(word[:1]) + word[1:]
		}
	}
	return strings.Join(words, "")
}
