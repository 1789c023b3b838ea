package burdockagent

import (
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
)

// sender passes the events of one job on to one entry.
type sender struct {
	agent    *Agent
	id       string
	job      *job
	stream   *connect.ServerStream[burdockwire.RunEvent]
	offset   int64
	headSent bool
}

func (s *sender) admitted() error {
	return s.stream.Send(&burdockwire.RunEvent{
		RequestId: s.id,
		Event: &burdockwire.RunEvent_Admitted{Admitted: &burdockwire.Admitted{
			Load: s.agent.lockedLoad(),
		}},
	})
}

func (s *sender) heartbeat() error {
	return s.stream.Send(&burdockwire.RunEvent{
		RequestId: s.id,
		Event:     &burdockwire.RunEvent_Heartbeat{Heartbeat: &burdockwire.Heartbeat{}},
	})
}

// sendNew sends all that is new, and reports whether the job has ended.
func (s *sender) sendNew() (bool, error) {
	for {
		p := s.job.since(s.offset, s.headSent)
		if p.gone {
			c := cut{reason: burdockwire.CutReason_CUT_REASON_OFFSET_GONE, explanation: "the bytes from there on are no longer kept"}
			return true, s.stream.Send(cutEventOf(s.id, c, s.agent.lockedLoad()))
		}
		if err := s.sendHead(p); err != nil {
			return false, err
		}
		if err := s.sendData(p); err != nil {
			return false, err
		}
		if p.outcome != nil {
			return true, s.sendOutcome(p.outcome)
		}
		if len(p.data) < maxChunk {
			return false, nil
		}
	}
}

func (s *sender) sendHead(p progress) error {
	if p.head == nil {
		return nil
	}
	s.headSent = true
	return s.stream.Send(&burdockwire.RunEvent{RequestId: s.id, Event: &burdockwire.RunEvent_Head{Head: p.head}})
}

func (s *sender) sendData(p progress) error {
	if len(p.data) == 0 {
		return nil
	}
	err := s.stream.Send(&burdockwire.RunEvent{
		RequestId: s.id,
		Event:     &burdockwire.RunEvent_Chunk{Chunk: &burdockwire.Chunk{Offset: s.offset, Data: p.data}},
	})
	if err != nil {
		return err
	}
	s.offset += int64(len(p.data))
	s.job.took(s.offset)
	return nil
}

func (s *sender) sendOutcome(o outcome) error {
	event := s.outcomeEvent(o)
	if err := s.stream.Send(event); err != nil {
		return err
	}
	s.job.deliver()
	return nil
}

func (s *sender) outcomeEvent(o outcome) *burdockwire.RunEvent {
	id, load := s.id, s.agent.lockedLoad()
	switch o := o.(type) {
	case ended:
		end := &burdockwire.End{TotalBytes: o.total, Load: load, RanMillis: int64(s.job.ran()), ServedTokens: int64(s.job.served)}
		return &burdockwire.RunEvent{RequestId: id, Event: &burdockwire.RunEvent_End{End: end}}
	case refused:
		return refusedEvent(id, o, load)
	case cut:
		return cutEventOf(id, o, load)
	}
	panic("burdockagent: unknown outcome")
}
