package burdocktransport

import (
	"net/http"
	"strings"
)

// ErrMalformedHead means that the head of an answer isn't valid HTTP, so that nothing in the answer
// can be relied on.
var ErrMalformedHead = Errors.NewType("malformedHead")

// Statuses of final answers are between these.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// IsFinalStatus reports whether an answer may have a status, as opposed to an interim answer. No
// request asks for another protocol, so 101 is not the status of an answer.
func IsFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

// checkHead finds what net/http's reader of heads lets pass: any number of three characters as the
// status, and a blank in the name of a field. Such a name isn't the field that it resembles, so that a
// body may be read without its length or coding.
func checkHead(res *http.Response) error {
	if !IsFinalStatus(res.StatusCode) {
		return ErrMalformedHead.New("%q is not the status of an answer", res.Status)
	}
	for name := range res.Header {
		if strings.Contains(name, " ") {
			return ErrMalformedHead.New("%q is not the name of a field", name)
		}
	}
	return nil
}
