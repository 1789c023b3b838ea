package burdockrank

import "math"

// treeCost is a cost model for sending orders to many agents, in milliseconds and bytes.
type treeCost struct {
	bytesPerMilli float64 // bandwidth of a VM's link; 0 if not known
	message       float64 // bytes of a call without its orders
	order         float64 // bytes of one order in a call
	call          float64 // CPU milliseconds of a call at its sender
	hop           float64 // milliseconds until the receiver starts to relay
}

const (
	// callBytes is the size of the headers of a call and its response. orderBytes is the
	// size of an order with the address of its rank's agent.
	callBytes  = 420
	orderBytes = 50
	// callMillis is the CPU time of sending a call on a small VM. hopMillis is the
	// network latency plus the time until a relay starts to send.
	callMillis = 0.5
	hopMillis  = 4
	// starTolerance is how many times as long as the fastest tree a call to each agent
	// may take and still be preferred: with fewer relays, fewer can fail.
	starTolerance = 1.5
)

// roundTime returns the time until the last of n agents has its order, if each sender
// splits its orders into the given number of branches.
func (c treeCost) roundTime(n, branches int) float64 {
	total := 0.0
	for n > 0 {
		parts := min(branches, n)
		total += c.hop + float64(parts)*(c.message/c.bytesPerMilli+c.call) + float64(n)*c.order/c.bytesPerMilli
		n = (n+parts-1)/parts - 1
	}
	return total
}

// branches returns into how many branches to split a round of orders to n agents; n
// branches mean a call to each agent.
//
// If the controller alone sent a round to hundreds of agents, it would take longer than
// the steps that the change waits for. It would also fill the link, which the responses
// of the engine on the same VM share.
func (c treeCost) branches(n int) int {
	if c.bytesPerMilli <= 0 || n < 2 {
		return n
	}
	best, minTime := n, math.Inf(1)
	for branches := 2; branches <= n; branches++ {
		if duration := c.roundTime(n, branches); duration < minTime {
			best, minTime = branches, duration
		}
	}
	if c.roundTime(n, n) <= starTolerance*minTime {
		return n
	}
	return best
}

// partition splits a list into the given number of parts of nearly equal length, in
// order.
func partition[T any](list []T, parts int) [][]T {
	parts = min(parts, len(list))
	out := make([][]T, 0, parts)
	for i := range parts {
		from, to := i*len(list)/parts, (i+1)*len(list)/parts
		out = append(out, list[from:to])
	}
	return out
}
