package burdockgroup

// ForgetNumbers has the rank take n, however old, so that a test can show what
// the check of numbers prevents.
func (r *Rank) ForgetNumbers(n Number) {
	n.Seq--
	r.highest = n
}
