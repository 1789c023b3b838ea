package burdockgroup

// ResetHighest makes the rank accept n, however old it is, so that a test can show what
// the check of order numbers prevents.
func (r *Rank) ResetHighest(n Number) {
	n.Seq--
	r.highest = n
}
