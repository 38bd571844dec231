package memory

// Use is what room is taken for.
type Use int

const (
	// UseBody is the body of a request.
	UseBody Use = iota
	// UseRequest is what a request takes besides its body: its connections, headers and buffers.
	UseRequest
	// UseAnswer is an answer that is read whole before it is forwarded.
	UseAnswer
	// UseEvent is an event of a stream that isn't whole yet.
	UseEvent
	// UseMessage is a message of another process of the system.
	UseMessage
	// UseCall is a call of an endpoint or an operator. It may need a message to be carried out.
	UseCall
	useCount
)

var useNames = [useCount]string{"body", "request", "answer", "event", "message", "call"}

// isOwned reports whether room for a use is taken for an organisation.
func (u Use) isOwned() bool { return u == UseBody || u == UseRequest }

// String returns the name of the use in logs and metrics.
func (u Use) String() string { return useNames[u] }
