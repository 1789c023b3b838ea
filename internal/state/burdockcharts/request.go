package burdockcharts

import "burdockbend.example/burdockbend/internal/state/burdockchart"

// RequestState is a state of a request at the agent of its upstream.
type RequestState string

// States of request.chart.
const (
	RequestOffered    RequestState = "offered"
	RequestQueued     RequestState = "queued"
	RequestRunning    RequestState = "running"
	RequestHandedOver RequestState = "handedOver"
	RequestAnswering  RequestState = "answering"
	RequestCancelling RequestState = "cancelling"
	RequestAnswered   RequestState = "answered"
	RequestRefused    RequestState = "refused"
	RequestCut        RequestState = "cut"
	RequestUnknown    RequestState = "unknown"
	RequestCancelled  RequestState = "cancelled"
)

// RequestEvent is an event of a request at the agent of its upstream.
type RequestEvent string

// Events of request.chart.
const (
	RequestEventEnqueue      RequestEvent = "enqueue"
	RequestEventStart        RequestEvent = "start"
	RequestEventRequeue      RequestEvent = "requeue"
	RequestEventRefuse       RequestEvent = "refuse"
	RequestEventHandOver     RequestEvent = "handOver"
	RequestEventAnswerBegins RequestEvent = "answerBegins"
	RequestEventAnswerEnds   RequestEvent = "answerEnds"
	RequestEventUpstreamLost RequestEvent = "upstreamLost"
	RequestEventTimeout      RequestEvent = "timeout"
	RequestEventCancel       RequestEvent = "cancel"
	RequestEventSlotFreed    RequestEvent = "slotFreed"
)

var requestStates = []RequestState{
	RequestOffered,
	RequestQueued,
	RequestRunning,
	RequestHandedOver,
	RequestAnswering,
	RequestCancelling,
	RequestAnswered,
	RequestRefused,
	RequestCut,
	RequestUnknown,
	RequestCancelled,
}

var requestEvents = []RequestEvent{
	RequestEventEnqueue,
	RequestEventStart,
	RequestEventRequeue,
	RequestEventRefuse,
	RequestEventHandOver,
	RequestEventAnswerBegins,
	RequestEventAnswerEnds,
	RequestEventUpstreamLost,
	RequestEventTimeout,
	RequestEventCancel,
	RequestEventSlotFreed,
}

// RequestMachine is a state machine of request.chart.
type RequestMachine = burdockchart.Machine[RequestState, RequestEvent]

var requestChart = load("request.chart", requestStates, requestEvents)

// NewRequest returns a machine for a request at the agent of its upstream, in the
// initial state.
func NewRequest() RequestMachine { return requestChart.Start() }
