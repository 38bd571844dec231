// Package site defines a site's configuration: routes, services, organisations
// and limits. A configuration must not be changed once a Table has been built from
// it. The package uses no clock, sockets or random numbers.
package site

import "time"

// Kind classifies the requests of a route by whether they may run more than once.
type Kind string

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent Kind = "non_idempotent"
	// KindStream requests are answered by a series of events. They run at most
	// once unless the route's streams can be resumed.
	KindStream Kind = "stream"
)

// Share assigns a part of a route's requests to a service.
type Share struct {
	Service string `json:"service"`
	// Weight is relative to the other shares of the route.
	Weight int `json:"weight"`
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string  `json:"path_prefix"`
	Kind       Kind    `json:"kind"`
	Shares     []Share `json:"shares"`
	// Timeout is the longest time that a caller waits for an answer.
	Timeout time.Duration `json:"timeout"`
	// Objective is the target latency: the time within which an answer, or the
	// first event of a stream, is on time.
	Objective time.Duration `json:"objective"`
	// EventGap is the longest pause between two events of a stream that is
	// still on time.
	EventGap time.Duration `json:"event_gap"`
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int `json:"priority"`
	// MaxAttempts is the largest number of endpoints that one request is sent to.
	MaxAttempts int `json:"max_attempts"`
	// Anonymous routes accept requests without a key.
	Anonymous bool `json:"anonymous"`
	// Sticky routes carry prompts whose prefixes are cached by the endpoints.
	Sticky bool `json:"sticky"`
	// Resumable streams can continue at another endpoint after a given event.
	Resumable bool `json:"resumable"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int `json:"slots"`
	// KVCacheTokens is the capacity of an engine's KV cache, in tokens.
	KVCacheTokens int64 `json:"memory_tokens"`
	// EventTokens is the largest number of output tokens in one event of a stream.
	EventTokens int64 `json:"event_tokens"`
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	// MaxConnections bounds the connections to one endpoint, over all callers.
	MaxConnections int `json:"max_connections"`
	// Engine is nil for services that run no model.
	Engine *Engine `json:"engine,omitempty"`
}

// Organisation is a customer with its API keys and prepaid tokens.
type Organisation struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority takes precedence over the priority of a route.
	Priority int `json:"priority"`
	// Prepaid is the total number of tokens that the organisation has paid for,
	// or Unlimited if it isn't charged.
	Prepaid int64 `json:"prepaid"`
}

// Unlimited is the value of Prepaid for an organisation that isn't charged.
const Unlimited = int64(-1)

// Limits bound the size and the timing of callers' requests.
type Limits struct {
	MaxHeaderBytes int           `json:"max_header_bytes"`
	MaxBodyBytes   int64         `json:"max_body_bytes"`
	HeaderTimeout  time.Duration `json:"header_timeout"`
	IdleTimeout    time.Duration `json:"idle_timeout"`
}

// Configuration is an operator's complete configuration of a site, under one
// version.
type Configuration struct {
	Version       int64          `json:"version"`
	Routes        []Route        `json:"routes"`
	Services      []Service      `json:"services"`
	Organisations []Organisation `json:"organisations"`
	Limits        Limits         `json:"limits"`
}
