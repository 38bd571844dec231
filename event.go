package buckthornpin

// Stamp is a hybrid logical timestamp: Unix milliseconds in the upper 48 bits and
// a counter in the lower 16. Stamps order the events of all processes causally.
type Stamp uint64

// UnixMilli returns the wall-clock part, in Unix milliseconds.
func (s Stamp) UnixMilli() int64 { return int64(s >> 16) }

// EventKind is the kind of an event.
type EventKind string

// Kinds of events.
const (
	EventStarted             EventKind = "started"
	EventStopping            EventKind = "stopping"
	EventReserved            EventKind = "reserved"
	EventDispatched          EventKind = "dispatched"
	EventResumed             EventKind = "resumed"
	EventRetried             EventKind = "retried"
	EventSettled             EventKind = "settled"
	EventCancelled           EventKind = "cancelled"
	EventRefused             EventKind = "refused"
	EventAnswered            EventKind = "answered"
	EventCallerGone          EventKind = "caller_gone"
	EventEndpointUpdated     EventKind = "endpoint_new"
	EventEndpointLeaving     EventKind = "endpoint_leaving"
	EventEndpointDead        EventKind = "endpoint_dead"
	EventEndpointRefused     EventKind = "endpoint_refused"
	EventConfigurationChange EventKind = "configuration"
	EventLeaderChanged       EventKind = "leader"
	EventLeaderLost          EventKind = "leader_lost"
	EventSnapshotSaved       EventKind = "snapshot"
	EventMembersChanged      EventKind = "members"
	EventLedgerChange        EventKind = "change"
	EventLeaseSpent          EventKind = "lease"
	EventUnauthorised        EventKind = "unauthorised"
)

// Event is one entry of the timeline. The recorder sets At, VM and Role.
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

// Recorder records the events of one process.
type Recorder interface {
	Record(e Event)
}
