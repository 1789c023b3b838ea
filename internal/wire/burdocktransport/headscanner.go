package burdocktransport

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// maxScannedLine bounds the part of a line that a headScanner keeps: the status, or the name of a field.
const maxScannedLine = 1 << 10

// headScanner checks the head of an answer while it arrives. What net/http itself finds malformed is
// left to it.
type headScanner struct {
	active  bool // the head of an answer is awaited, or has begun
	inLines bool // its status line has ended
	interim bool // another head follows
	line    []byte
}

// start has the scanner expect the head of an answer.
func (s *headScanner) start() { *s = headScanner{active: true} }

// scan checks the next bytes of a connection.
func (s *headScanner) scan(p []byte) error {
	for s.active && len(p) > 0 {
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		s.line = append(s.line, part[:min(len(part), maxScannedLine-len(s.line))]...)
		if ended {
			if err := s.endLine(); err != nil {
				return err
			}
		}
		p = rest
	}
	return nil
}

// endLine checks a line.
func (s *headScanner) endLine() error {
	line := strings.TrimSuffix(string(s.line), "\r")
	s.line = s.line[:0]
	switch {
	case !s.inLines:
		s.inLines = true
		return s.checkStatusLine(line)
	case line == "":
		s.inLines, s.active = false, s.interim
		return nil
	case strings.HasPrefix(line, " "), strings.HasPrefix(line, "\t"):
		return nil // goes on with the value of the field before
	case s.interim:
		return nil // nothing of an interim answer is used
	}
	name, _, _ := strings.Cut(line, ":")
	return checkName(name)
}

func (s *headScanner) checkStatusLine(line string) error {
	_, rest, _ := strings.Cut(line, " ")
	text, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.Atoi(text)
	if err != nil {
		return nil
	}
	s.interim = status >= http.StatusContinue && status < minFinalStatus && status != http.StatusSwitchingProtocols
	if s.interim {
		return nil
	}
	return checkStatus(status)
}
