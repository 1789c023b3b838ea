package burdockdirect

// result is how one offer ended.
type result interface{ isResult() }

// answered means that the caller has the whole answer.
type answered struct{}

// notRun means that the upstream refused the request and will never run it.
type notRun struct {
	status int
	// hadFreeSlots reports that the upstream had free slots when it refused.
	hadFreeSlots bool
	// replaced reports that another process answers at the upstream's address.
	replaced bool
}

// unreached means that no connection was established, so nothing was sent.
type unreached struct{ err error }

// unknown means that the request may have run, and nothing of an answer was passed on.
type unknown struct {
	reason string
	// errorAnswer is the upstream's own error response; nil if there was none.
	errorAnswer *bufferedAnswer
	// connectionBroke reports that the upstream's connection broke.
	connectionBroke bool
	// brokeAfterSilence reports that it broke after the stream had no event for long.
	brokeAfterSilence bool
}

// broken means that a stream broke off after part of it was passed on.
type broken struct {
	reason            string
	connectionBroke   bool // the upstream's connection broke
	brokeAfterSilence bool // it broke after the stream had no event for long
}

// ended means that the time is over, or the caller went away.
type ended struct{}

func (answered) isResult()  {}
func (notRun) isResult()    {}
func (unreached) isResult() {}
func (unknown) isResult()   {}
func (broken) isResult()    {}
func (ended) isResult()     {}
