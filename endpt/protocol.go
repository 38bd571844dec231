// Package endpt talks to endpoints: it takes their announcements, runs requests
// on them and cancels them. docs/ENDPOINTS.md describes the protocol.
package endpt

// Headers of the endpoint protocol.
const (
	// RequestHeader names the request.
	RequestHeader = "X-Request-Id"
	// AttemptHeader numbers the attempt, from 1.
	AttemptHeader = "X-Attempt"
	// OffsetHeader is the number of output tokens that were delivered before.
	OffsetHeader = "X-Resume-Offset"
	// NotRunHeader is set by an endpoint that has not run the attempt.
	NotRunHeader = "X-Not-Run"
	// LeavingHeader is set by an endpoint that takes no new work.
	LeavingHeader = "X-Leaving"
	// SecretHeader carries the secret shared with endpoints.
	SecretHeader = "X-Endpoint-Secret"
)

// Paths of the endpoint protocol.
const (
	// AnnouncePath is served by routers.
	AnnouncePath = "/endpoints/v1/announce"
	// ChatPath is served by model engines.
	ChatPath = "/v1/chat/completions"
	// CancelPath is served by model engines; the request's name follows.
	CancelPath = "/v1/requests/"
	// ServicePath is served by plain services; the service's name follows.
	ServicePath = "/services/"
)

// Announcement is what an endpoint tells routers, repeated as its heartbeat.
type Announcement struct {
	Endpoint string   `json:"endpoint"`
	Address  string   `json:"address"`
	Zone     string   `json:"zone"`
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Services []string `json:"services,omitempty"`
	// Capacity is the number of requests that the endpoint runs at once.
	Capacity int `json:"capacity"`
	// Incarnation rises with each start of the endpoint, Sequence with each
	// announcement.
	Incarnation int64 `json:"incarnation"`
	Sequence    int64 `json:"sequence"`
	Leaving     bool  `json:"leaving,omitempty"`
}

// AnnounceReply tells an endpoint which routers it may announce to.
type AnnounceReply struct {
	Routers []string `json:"routers"`
}
