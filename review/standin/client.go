package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id     string
	entry  string
	sentAt time.Time
	endAt  time.Time
	// status is 0 if the connection ended without a status.
	status int
	stamp  string
	body   string
	// events is the number of events of a stream, and longestGap the longest pause between
	// two of them.
	events     int
	longestGap time.Duration
	// whole reports that the answer ended as complete.
	whole bool
	// problem is what the client saw go wrong.
	problem string
}

// call is a request of a client.
type call struct {
	id     string
	path   string
	host   string
	budget time.Duration
	body   string
	header map[string]string
}

// send sends a request to an entry on a new connection and reads the answer.
func (c call) send(e *hosted) answer {
	a := answer{id: c.id, entry: e.name, sentAt: time.Now()}
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+c.path, strings.NewReader(c.body))
	if err != nil {
		panic(err) // unreachable: the addresses are those of listeners
	}
	req.Host = c.host
	req.Header.Set(headerAttempt, c.id)
	req.Header.Set(headerBudget, fmt.Sprint(c.budget.Milliseconds()))
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: c.budget}
	defer client.CloseIdleConnections()
	res, err := client.Do(req)
	if err != nil {
		a.problem, a.endAt = err.Error(), time.Now()
		return a
	}
	defer func() { _ = res.Body.Close() }()
	a.status, a.stamp = res.StatusCode, res.Header.Get(headerStamp)
	a.read(res.Body)
	a.endAt = time.Now()
	return a
}

// read reads a body, line by line, to its end.
func (a *answer) read(body io.Reader) {
	r := bufio.NewReader(body)
	last := time.Time{}
	for {
		line, err := r.ReadString('\n')
		a.body += line
		if strings.HasPrefix(line, "id:") {
			now := time.Now()
			if !last.IsZero() {
				a.longestGap = max(a.longestGap, now.Sub(last))
			}
			a.events, last = a.events+1, now
		}
		if err == io.EOF {
			a.whole = true
			return
		}
		if err != nil {
			a.problem = err.Error()
			return
		}
	}
}

func (a answer) String() string {
	text := fmt.Sprintf("%s at %s: status %d, stamp %q, whole %t", a.id, a.entry, a.status, a.stamp, a.whole)
	if a.events > 0 {
		text += fmt.Sprintf(", %d events, longest gap %d ms", a.events, a.longestGap.Milliseconds())
	}
	if a.problem != "" {
		text += ", " + a.problem
	}
	return text
}
