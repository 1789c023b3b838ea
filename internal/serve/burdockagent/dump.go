package burdockagent

import (
	"slices"
	"strings"

	"burdockbend.example/burdockbend/internal/base/burdockclock"
	"burdockbend.example/burdockbend/internal/base/burdockid"
	"burdockbend.example/burdockbend/internal/decide/burdockqueue"
	"burdockbend.example/burdockbend/internal/state/burdockcharts"
)

// State is the agent's part of the state dump.
type State struct {
	Upstream     burdockid.Upstream    `json:"upstream"`
	Service      burdockid.Service     `json:"service"`
	Incarnation  burdockid.Incarnation `json:"incarnation"`
	UptimeMillis burdockclock.Millis   `json:"upMillis"`
	Draining     bool                  `json:"draining"`
	Counts       OutcomeCounts         `json:"counts"`
	Queue        burdockqueue.State    `json:"queue"`
	Requests     []RequestState        `json:"requests"`
}

// RequestState is the state dump of one request.
type RequestState struct {
	ID        burdockid.Request          `json:"id"`
	Customer  burdockid.Customer         `json:"customer"`
	Class     string                     `json:"class"`
	State     burdockcharts.RequestState `json:"state"`
	AgeMillis burdockclock.Millis        `json:"ageMillis"`
	Readers   int                        `json:"readers"`
	Bytes     int64                      `json:"bytes"`
}

// State returns a snapshot of the agent for the state dump.
func (a *Agent) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Boot()
	s := State{
		Upstream:     a.cfg.Upstream,
		Service:      a.policy.service,
		Incarnation:  a.incarnation,
		UptimeMillis: now - a.started,
		Draining:     a.draining,
		Counts:       a.counts,
		Queue:        a.queue.State(),
		Requests:     []RequestState{},
	}
	for _, j := range a.jobs {
		s.Requests = append(s.Requests, j.state(now))
	}
	slices.SortFunc(s.Requests, func(x, y RequestState) int { return strings.Compare(string(x.ID), string(y.ID)) })
	return s
}

func (j *job) state(now burdockclock.Millis) RequestState {
	j.mu.Lock()
	defer j.mu.Unlock()
	return RequestState{
		ID:        j.id,
		Customer:  burdockid.Customer(j.request.GetCustomer()),
		Class:     j.request.GetPriorityClass(),
		State:     j.machine.State(),
		AgeMillis: now - j.arrived,
		Readers:   len(j.readers),
		Bytes:     j.totalBytes(),
	}
}
