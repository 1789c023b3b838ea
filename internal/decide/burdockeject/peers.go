package burdockeject

import (
	"math"
	"math/bits"

	"burdockbend.example/burdockbend/internal/base/burdockid"
)

// peers holds what work of each size usually takes, over all upstreams.
//
// Sizes fall into classes by powers of two: a short answer pays for its prompt
// in few tokens and takes longer for each of them than a long one, so one mean
// over all work would call every upstream slow that happens to get the short.
//
// The mean is over logarithms, which one very slow answer hardly moves.
type peers struct {
	classes [sizeClasses]peerClass
}

const (
	sizeClasses = 32
	// peerSamples is over how many answers the mean moves.
	peerSamples = 256
	// peerEvidence is how many answers a class needs before it judges anyone.
	peerEvidence = 16
	// outlier bounds, in doublings, by how much one answer can move the mean.
	outlier = 2
)

type peerClass struct {
	mean    float64 // of the logarithm, base 2, of milliseconds for a token
	samples int
}

// slowness returns by how many doublings the answer was slower than its peers,
// negative where it was faster, and counts the answer among them. It returns
// false while too little is known.
func (p *peers) slowness(a Completed) (float64, bool) {
	class := &p.classes[sizeClass(a.Cost)]
	pace := math.Log2(float64(max(a.Duration, 1)) / float64(max(a.Cost, 1)))
	judged := class.samples >= peerEvidence
	slow := pace - class.mean
	class.samples = min(class.samples+1, peerSamples)
	step := slow
	if judged {
		step = min(max(slow, -outlier), outlier)
	}
	class.mean += step / float64(class.samples)
	return slow, judged
}

func sizeClass(work burdockid.Tokens) int {
	return min(bits.Len64(uint64(max(work, 0))), sizeClasses-1)
}
