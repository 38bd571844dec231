package buckthornpin

// Stamp is a hybrid logical time: Unix milliseconds in the upper 48 bits, a
// counter in the lower 16. Stamps order events over all processes causally.
type Stamp uint64

// UnixMilli returns the wall clock part.
func (s Stamp) UnixMilli() int64 { return int64(s >> 16) }

// EventKind names what happened.
type EventKind string

// Kinds of events.
const (
	EventStarted       EventKind = "started"
	EventStopping      EventKind = "stopping"
	EventReserved      EventKind = "reserved"
	EventDispatched    EventKind = "dispatched"
	EventResumed       EventKind = "resumed"
	EventRetried       EventKind = "retried"
	EventSettled       EventKind = "settled"
	EventCancelled     EventKind = "cancelled"
	EventRefused       EventKind = "refused"
	EventAnswered      EventKind = "answered"
	EventCallerGone    EventKind = "caller_gone"
	EventEndpointNew   EventKind = "endpoint_new"
	EventEndpointLeave EventKind = "endpoint_leaving"
	EventEndpointDead  EventKind = "endpoint_dead"
	EventConfiguration EventKind = "configuration"
	EventLeader        EventKind = "leader"
	EventLeaderLost    EventKind = "leader_lost"
	EventSnapshot      EventKind = "snapshot"
	EventMembers       EventKind = "members"
	EventChange        EventKind = "change"
	EventLease         EventKind = "lease"
	EventUnauthorised  EventKind = "unauthorised"
)

// Event is one entry of the time line. VM and Role are filled in by the
// recorder of the process.
type Event struct {
	At           Stamp     `json:"at"`
	VM           string    `json:"vm"`
	Role         string    `json:"role"`
	Kind         EventKind `json:"kind"`
	Organisation string    `json:"organisation,omitempty"`
	Request      string    `json:"request,omitempty"`
	Endpoint     string    `json:"endpoint,omitempty"`
	Detail       string    `json:"detail,omitempty"`
}

// Recorder takes events of one process.
type Recorder interface {
	Record(e Event)
}
