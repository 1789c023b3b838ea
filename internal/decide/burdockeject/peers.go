package burdockeject

import (
	"math"
	"math/bits"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// peers holds the typical time per token, over all upstreams, for each size of request.
//
// Requests are classified by size in powers of two. A short response spreads the cost of
// its prompt over few tokens, so it takes longer per token than a long one. With a single
// mean, an upstream that happens to get short requests would look slow.
//
// The mean is taken over logarithms, which a single very slow response hardly moves.
type peers struct {
	classes [sizeClasses]peerClass
}

const (
	sizeClasses = 32
	// meanWindow is the number of responses that the moving mean covers.
	meanWindow = 256
	// minPeerSamples is the number of responses that a class needs before slowness is
	// reported.
	minPeerSamples = 16
	// maxMeanShift bounds the deviation of one response, in doublings, that enters the
	// mean.
	maxMeanShift = 2
)

type peerClass struct {
	mean    float64 // of log2(milliseconds per token)
	samples int
}

// slowness returns how much slower than its peers the response was, in doublings
// (negative if faster), and adds it to the mean. It returns false if the class has too
// few samples.
func (p *peers) slowness(a Completed) (float64, bool) {
	class := &p.classes[sizeClass(a.Cost)]
	logPace := math.Log2(float64(max(a.Duration, 1)) / float64(max(a.Cost, 1)))
	enoughSamples := class.samples >= minPeerSamples
	slow := logPace - class.mean
	class.samples = min(class.samples+1, meanWindow)
	step := slow
	if enoughSamples {
		step = min(max(slow, -maxMeanShift), maxMeanShift)
	}
	class.mean += step / float64(class.samples)
	return slow, enoughSamples
}

func sizeClass(cost burdockid.Tokens) int {
	return min(bits.Len64(uint64(max(cost, 0))), sizeClasses-1)
}
