package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run. Its times are
// seconds from the start of the case.
type record struct {
	start time.Time

	mu  sync.Mutex
	out io.WriteCloser
}

func newRecord(file string) (*record, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), out: f}, nil
}

// since returns the seconds from the start of the case to a time.
func (r *record) since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// at writes a line about something that happened at a time.
func (r *record) at(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", r.since(at), fmt.Sprintf(format, args...))
}

// now writes a line about something that has just happened.
func (r *record) now(format string, args ...any) { r.at(time.Now(), format, args...) }

// verdict writes a line to the record and to standard output.
func (r *record) verdict(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	fmt.Println(line)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintln(r.out, line)
}

func (r *record) close() { _ = r.out.Close() }
