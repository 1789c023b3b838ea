package burdockagent

import (
	"burdockbend.example/burdockbend/internal/wire/burdockwire"
	"connectrpc.com/connect"
)

// sender sends the events of one job to one entry.
type sender struct {
	agent    *Agent
	id       string
	job      *job
	stream   *connect.ServerStream[burdockwire.RunEvent]
	offset   int64
	headSent bool
}

func (s *sender) sendAdmitted() error {
	return s.stream.Send(&burdockwire.RunEvent{
		RequestId: s.id,
		Event: &burdockwire.RunEvent_Admitted{Admitted: &burdockwire.Admitted{
			Load: s.agent.load(),
		}},
	})
}

func (s *sender) sendHeartbeat() error {
	return s.stream.Send(&burdockwire.RunEvent{
		RequestId: s.id,
		Event:     &burdockwire.RunEvent_Heartbeat{Heartbeat: &burdockwire.Heartbeat{}},
	})
}

// sendPending sends everything that was not yet sent, and reports whether the stream is
// complete.
func (s *sender) sendPending() (bool, error) {
	for {
		p := s.job.progressSince(s.offset, s.headSent)
		if p.gone {
			c := cut{reason: burdockwire.CutReason_CUT_REASON_OFFSET_GONE, explanation: "the bytes from there on are no longer kept"}
			return true, s.stream.Send(newCutEvent(s.id, c, s.agent.load()))
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
		if len(p.data) < maxChunkBytes {
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
	s.job.markSent(s.offset)
	return nil
}

func (s *sender) sendOutcome(o outcome) error {
	event := s.newOutcomeEvent(o)
	if err := s.stream.Send(event); err != nil {
		return err
	}
	s.job.markDelivered()
	return nil
}

func (s *sender) newOutcomeEvent(o outcome) *burdockwire.RunEvent {
	id, load := s.id, s.agent.load()
	switch o := o.(type) {
	case ended:
		end := &burdockwire.End{TotalBytes: o.totalBytes, Load: load, RanMillis: int64(s.job.runTime()), ServedTokens: int64(s.job.servedTokens)}
		return &burdockwire.RunEvent{RequestId: id, Event: &burdockwire.RunEvent_End{End: end}}
	case refused:
		return newRefusedEvent(id, o, load)
	case cut:
		return newCutEvent(id, o, load)
	}
	panic("burdockagent: unknown outcome")
}
