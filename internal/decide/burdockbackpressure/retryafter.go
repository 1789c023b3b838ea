package burdockbackpressure

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
)

// MaxPause is the longest pause that is kept; a longer one is cut to it.
const MaxPause = 10 * burdockclock.Minute

// Pause is the pause that a refusal asks for.
type Pause struct {
	// For is how long the pause lasts; 0 if none is asked for.
	For burdockclock.Millis
	// Unreadable is the text of a pause that can't be read.
	Unreadable string
}

// ParseRetryAfter reads the Retry-After header of a response: seconds, also with a decimal
// fraction, or an HTTP date. date is the response's Date header: a date counts by the clock
// of the upstream, and can't be read without it. A pause that is over already is none.
func ParseRetryAfter(text, date string) Pause {
	text = strings.TrimSpace(text)
	if text == "" {
		return Pause{}
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil && !math.IsNaN(seconds) {
		return pauseOf(seconds)
	}
	until, err := http.ParseTime(text)
	sent, err2 := http.ParseTime(date)
	if err != nil || err2 != nil {
		return Pause{Unreadable: text}
	}
	return pauseOf(until.Sub(sent).Seconds())
}

// pauseOf returns a pause of some seconds, rounded up to milliseconds.
func pauseOf(seconds float64) Pause {
	ms := math.Ceil(seconds * float64(burdockclock.Second))
	return Pause{For: burdockclock.Millis(min(max(ms, 0), float64(MaxPause)))}
}
