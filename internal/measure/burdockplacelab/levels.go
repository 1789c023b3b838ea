package burdockplacelab

// levels keeps the replicas grouped by their load in requests, so that the
// policy with perfect knowledge need not look at all of them for each request.
type levels struct {
	groups [][]int // replicas, by load
	load   []int   // by replica
	place  []int   // of each replica in its group
}

func newLevels(n int) levels {
	l := levels{groups: make([][]int, 1), load: make([]int, n), place: make([]int, n)}
	for i := range n {
		l.insert(i)
	}
	return l
}

// change adds delta to the load of replica i.
func (l *levels) change(i, delta int) {
	group := l.groups[l.load[i]]
	last := len(group) - 1
	moved := group[last]
	group[l.place[i]] = moved
	l.place[moved] = l.place[i]
	l.groups[l.load[i]] = group[:last]
	l.load[i] += delta
	l.insert(i)
}

func (l *levels) insert(i int) {
	for len(l.groups) <= l.load[i] {
		l.groups = append(l.groups, nil)
	}
	l.place[i] = len(l.groups[l.load[i]])
	l.groups[l.load[i]] = append(l.groups[l.load[i]], i)
}

// lowest returns the replicas with the lowest load.
func (l *levels) lowest() []int {
	for _, group := range l.groups {
		if len(group) > 0 {
			return group
		}
	}
	return nil
}
