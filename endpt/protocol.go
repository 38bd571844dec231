// Package endpt implements the protocol between routers and endpoints: it receives
// announcements, runs requests and cancels them. docs/ENDPOINTS.md describes the
// protocol.
package endpt

// Headers of the endpoint protocol.
const (
	// RequestHeader carries the id of the request. Answers repeat it and AttemptHeader.
	RequestHeader = "X-Request-Id"
	// AttemptHeader carries the number of the attempt, from 1.
	AttemptHeader = "X-Attempt"
	// OffsetHeader carries the number of output tokens that earlier attempts
	// delivered.
	OffsetHeader = "X-Resume-Offset"
	// NotRunHeader is set by an endpoint that hasn't run the attempt.
	NotRunHeader = "X-Not-Run"
	// LeavingHeader is set by an endpoint that takes no new work.
	LeavingHeader = "X-Leaving"
	// LimitHeader names in an answer the requests a second, a decimal number, that the
	// endpoint takes from all routers together. The limit holds until an answer to a
	// request that has run doesn't name it.
	LimitHeader = "X-Request-Limit"
	// SecretHeader carries the secret that routers and endpoints share.
	SecretHeader = "X-Endpoint-Secret"
)

// Paths of the endpoint protocol.
const (
	// AnnouncePath is served by routers.
	AnnouncePath = "/endpoints/v1/announce"
	// ChatPath is served by model engines.
	ChatPath = "/v1/chat/completions"
	// CancelPath is served by model engines; the request's id follows.
	CancelPath = "/v1/requests/"
	// ServicePath is served by plain services; the service's name follows.
	ServicePath = "/services/"
)

// Announcement is what an endpoint tells routers about itself. Endpoints repeat it
// as their heartbeat.
type Announcement struct {
	// Endpoint is the endpoint's id, of 1 to 200 bytes.
	Endpoint string `json:"endpoint"`
	// Address is IP:PORT.
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
	// Leaving says that the endpoint takes no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// AnnounceReply tells an endpoint which routers accept its announcements.
type AnnounceReply struct {
	// Routers are the routers' addresses.
	Routers []string `json:"routers"`
}
