package burdockchart

import "burdockbend.example/burdockbend/internal/base/burdockclock"

// Entry records one event of a machine, for the state dump.
type Entry struct {
	At     burdockclock.Millis `json:"at"`
	Event  string              `json:"event"`
	From   string              `json:"from"`
	To     string              `json:"to"`
	Reason string              `json:"reason,omitempty"`
}

// Journal is a ring buffer of the latest entries.
type Journal struct {
	entries []Entry
	next    int
}

// NewJournal returns a journal that keeps the last limit entries. A limit below 1 counts
// as 1.
func NewJournal(limit int) *Journal {
	return &Journal{entries: make([]Entry, 0, max(limit, 1))}
}

// Add appends an entry. In a full journal it replaces the oldest one.
func (j *Journal) Add(e Entry) {
	if len(j.entries) < cap(j.entries) {
		j.entries = append(j.entries, e)
		return
	}
	j.entries[j.next] = e
	j.next = (j.next + 1) % len(j.entries)
}

// Entries returns the entries, oldest first.
func (j *Journal) Entries() []Entry {
	ordered := make([]Entry, 0, len(j.entries))
	ordered = append(ordered, j.entries[j.next:]...)
	return append(ordered, j.entries[:j.next]...)
}
