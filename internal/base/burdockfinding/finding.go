// Package burdockfinding collects the problems that a check finds, each with its location,
// so that all of them are reported together.
package burdockfinding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one problem in an input.
type Finding struct {
	File string // as the user named it; empty when the input is not a file
	Line int    // from 1; 0 when unknown
	Key  string // dotted path, such as "customers.acme.share"
	What string // what is wrong
	Want string // what is valid instead; empty if What states it
}

// String returns the finding as "file:line: key: what; want ...".
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		b.WriteByte(':')
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:", f.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Key != "" {
		b.WriteString(f.Key)
		b.WriteString(": ")
	}
	b.WriteString(f.What)
	if f.Want != "" {
		b.WriteString("; want ")
		b.WriteString(f.Want)
	}
	return b.String()
}

// List collects findings. The zero value is ready to use.
type List struct {
	findings []Finding
}

// Add appends one finding.
func (l *List) Add(f Finding) { l.findings = append(l.findings, f) }

// Merge appends all findings of other.
func (l *List) Merge(other List) { l.findings = append(l.findings, other.findings...) }

// All returns the findings ordered by file and line.
func (l *List) All() []Finding {
	sorted := append([]Finding(nil), l.findings...)
	sort.SliceStable(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
	return sorted
}

// Err returns nil when there are no findings, and an *Error otherwise.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.All()}
}

// Error reports every finding, one per line.
type Error struct {
	Findings []Finding
}

// Error implements the error interface.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
