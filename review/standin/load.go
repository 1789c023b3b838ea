package main

import (
	"sync"
	"time"
)

// callLoop sends requests at a constant rate, to the entries in turn.
type callLoop struct {
	entries []*hosted
	every   time.Duration
	next    func(n int) call
	stop    chan struct{}

	done    sync.WaitGroup
	mu      sync.Mutex
	answers []answer
}

func (l *callLoop) start() {
	l.done.Add(1)
	go l.run()
}

func (l *callLoop) run() {
	defer l.done.Done()
	ticker := time.NewTicker(l.every)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		l.done.Add(1)
		go l.send(l.next(n), l.entries[n%len(l.entries)])
	}
}

func (l *callLoop) send(c call, e *hosted) {
	defer l.done.Done()
	a := c.send(e)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}

// end stops sending, waits for the answers and returns them.
func (l *callLoop) end() []answer {
	close(l.stop)
	l.done.Wait()
	return l.answers
}
