package burdockplacelab

// loadBuckets groups the replicas by the number of their requests, so that
// PerfectKnowledge finds the least loaded ones without a scan of all replicas.
type loadBuckets struct {
	buckets  [][]int // replicas, indexed by load
	load     []int   // requests of each replica
	position []int   // index of each replica in its bucket
}

func newLoadBuckets(n int) loadBuckets {
	b := loadBuckets{buckets: make([][]int, 1), load: make([]int, n), position: make([]int, n)}
	for i := range n {
		b.insert(i)
	}
	return b
}

// change adds delta to the load of replica i.
func (b *loadBuckets) change(i, delta int) {
	bucket := b.buckets[b.load[i]]
	last := len(bucket) - 1
	moved := bucket[last]
	bucket[b.position[i]] = moved
	b.position[moved] = b.position[i]
	b.buckets[b.load[i]] = bucket[:last]
	b.load[i] += delta
	b.insert(i)
}

func (b *loadBuckets) insert(i int) {
	for len(b.buckets) <= b.load[i] {
		b.buckets = append(b.buckets, nil)
	}
	b.position[i] = len(b.buckets[b.load[i]])
	b.buckets[b.load[i]] = append(b.buckets[b.load[i]], i)
}

// lowest returns the replicas with the lowest load.
func (b *loadBuckets) lowest() []int {
	for _, bucket := range b.buckets {
		if len(bucket) > 0 {
			return bucket
		}
	}
	return nil
}
