// Package site holds the values of a site's configuration: routes, services,
// organisations and limits. All values are immutable once a Table is made of
// them. The package has no clock, socket or random source of its own.
package site

import "time"

// Kind tells what may be repeated of a route's requests.
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

// Share is a service and its part of a route's requests.
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
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time within which an answer, or the first event of a
	// stream, is on time.
	Objective time.Duration `json:"objective"`
	// EventGap is the longest pause between events of a stream that is on time.
	EventGap time.Duration `json:"event_gap"`
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int `json:"priority"`
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int `json:"max_attempts"`
	// Anonymous routes ask for no key.
	Anonymous bool `json:"anonymous"`
	// Sticky routes carry prompts whose prefixes endpoints cache.
	Sticky bool `json:"sticky"`
	// Resumable streams can go on at another endpoint behind a given event.
	Resumable bool `json:"resumable"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int `json:"slots"`
	// MemoryTokens is how many tokens an engine's KV memory holds.
	MemoryTokens int64 `json:"memory_tokens"`
	// EventTokens is the most output tokens that one event of a stream carries.
	EventTokens int64 `json:"event_tokens"`
}

// Service is a set of like endpoints.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	// MaxConnections bounds the connections of all callers to one endpoint.
	MaxConnections int `json:"max_connections"`
	// Engine is nil for plain services.
	Engine *Engine `json:"engine,omitempty"`
}

// Organisation is a customer with its keys and its prepaid total.
type Organisation struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority goes before that of a route.
	Priority int `json:"priority"`
	// Prepaid is the total of tokens that the organisation has paid for;
	// Unlimited where it has none.
	Prepaid int64 `json:"prepaid"`
}

// Unlimited is the total of an organisation that isn't charged.
const Unlimited = int64(-1)

// Limits bound what a caller sends.
type Limits struct {
	MaxHeaderBytes int           `json:"max_header_bytes"`
	MaxBodyBytes   int64         `json:"max_body_bytes"`
	HeaderTimeout  time.Duration `json:"header_timeout"`
	IdleTimeout    time.Duration `json:"idle_timeout"`
}

// Configuration is all that an operator says of a site, under one version.
type Configuration struct {
	Version       int64          `json:"version"`
	Routes        []Route        `json:"routes"`
	Services      []Service      `json:"services"`
	Organisations []Organisation `json:"organisations"`
	Limits        Limits         `json:"limits"`
}
