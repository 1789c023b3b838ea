package burdockratelimit

import (
	"math"
	"strconv"
	"strings"

	"burdockbend.example/burdockbend/internal/decide/burdocksharedrate"
)

// Rate is a number of requests per second.
type Rate = burdocksharedrate.Rate

// maxRate is the largest rate that is kept apart from larger ones.
const maxRate Rate = 1e6

// Statement is what a response says about its upstream's rate limit: Unlimited, Limited or
// Unreadable.
type Statement interface{ isStatement() }

// Unlimited means that the response names no limit.
type Unlimited struct{}

// Limited means that the upstream takes Rate from all entries together.
type Limited struct{ Rate Rate }

// Unreadable means that the response names a limit that is no rate.
type Unreadable struct{ Text string }

func (Unlimited) isStatement()  {}
func (Limited) isStatement()    {}
func (Unreadable) isStatement() {}

// Parse reads a rate limit as an upstream writes it: a decimal number of requests per
// second that isn't negative. An empty text names no limit.
func Parse(text string) Statement {
	text = strings.TrimSpace(text)
	if text == "" {
		return Unlimited{}
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return Unreadable{Text: text}
	}
	return Limited{Rate: min(Rate(rate), maxRate)}
}
