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

// checkStatus finds statuses that net/http's reader of heads lets pass: it takes any number of three
// characters.
func checkStatus(status int) error {
	if !IsFinalStatus(status) {
		return ErrMalformedHead.New("%d is not the status of an answer", status)
	}
	return nil
}

// checkName finds names of fields that net/http's reader of heads lets pass: those with a blank. Such
// a name isn't the field that it resembles, so that a body may be read without its length or coding.
func checkName(name string) error {
	if strings.Contains(name, " ") {
		return ErrMalformedHead.New("%q is not the name of a field", name)
	}
	return nil
}

// checkHead checks the status of an answer and the names of its fields.
func checkHead(res *http.Response) error {
	if err := checkStatus(res.StatusCode); err != nil {
		return err
	}
	for name := range res.Header {
		if err := checkName(name); err != nil {
			return err
		}
	}
	return nil
}
