package burdockchart

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// Entry is one event that a machine took, for the state dump.
type Entry struct {
	At     burdockclock.Millis `json:"at"`
	Event  string              `json:"event"`
	From   string              `json:"from"`
	To     string              `json:"to"`
	Reason string              `json:"reason,omitempty"`
}

// Journal keeps the last entries up to a limit and drops older ones.
type Journal struct {
	entries []Entry
	next    int
}

// NewJournal returns a journal that keeps limit entries, at least one.
func NewJournal(limit int) *Journal {
	return &Journal{entries: make([]Entry, 0, max(limit, 1))}
}

// Add appends an entry.
func (j *Journal) Add(e Entry) {
	if len(j.entries) < cap(j.entries) {
		j.entries = append(j.entries, e)
		return
	}
	j.entries[j.next] = e
	j.next = (j.next + 1) % len(j.entries)
}

// Entries returns the entries from the oldest to the newest.
func (j *Journal) Entries() []Entry {
	ordered := make([]Entry, 0, len(j.entries))
	ordered = append(ordered, j.entries[j.next:]...)
	return append(ordered, j.entries[:j.next]...)
}
