package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"buckthornpin"
)

const (
	// crashesToConvict is on how many endpoints a request has to crash before it is
	// kept from further ones: an endpoint may crash for other reasons beside a
	// request once or twice.
	crashesToConvict = 3
	// suspectFor is how long crashes are remembered after the newest one.
	suspectFor = time.Minute
	// suspectTold is how long a crash is told to other routers.
	suspectTold = 5 * time.Second
	// crashLook bounds the look whether an endpoint has crashed.
	crashLook = 500 * time.Millisecond
	// maxLooks bounds the looks that wait.
	maxLooks = 256
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 4096
)

// Crash says that an endpoint ended while it ran a request.
type Crash struct {
	// Request is the fingerprint of the request's route, caller and content.
	Request  uint64
	Endpoint string
}

// Suspects are the requests that ran on endpoints which crashed. A request that
// comes again has the same path, caller and body, under another id and through
// any router, so routers tell each other. It is safe for concurrent use; its zero
// value is ready.
type Suspects struct {
	mu       sync.Mutex
	requests map[uint64]*suspect
	looks    chan look
}

// look is an endpoint that may have crashed under a request.
type look struct {
	request  uint64
	endpoint *buckthornpin.Endpoint
}

type suspect struct {
	endpoints map[string]bool
	newest    time.Time
}

// fingerprint names a request by what stays the same when it comes again.
func fingerprint(q *Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{q.Method, q.Host, q.Target, q.Key} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.Body)
	return h.Sum64()
}

// Note takes a crash. It reports whether it is news.
func (s *Suspects) Note(c Crash, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	known := s.requests[c.Request]
	if known == nil {
		if s.requests == nil {
			s.requests = map[uint64]*suspect{}
		}
		if len(s.requests) >= maxSuspects {
			return false
		}
		known = &suspect{endpoints: map[string]bool{}}
		s.requests[c.Request] = known
	}
	if known.endpoints[c.Endpoint] {
		return false
	}
	known.endpoints[c.Endpoint] = true
	known.newest = now
	return true
}

func (s *Suspects) forget(now time.Time) {
	for id, k := range s.requests {
		if now.Sub(k.newest) > suspectFor {
			delete(s.requests, id)
		}
	}
}

// Convicted reports whether a request is kept from endpoints.
func (s *Suspects) Convicted(q *Request, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.requests) == 0 {
		return false
	}
	k := s.requests[fingerprint(q)]
	return k != nil && len(k.endpoints) >= crashesToConvict && now.Sub(k.newest) <= suspectFor
}

// News returns the crashes that other routers should hear of.
func (s *Suspects) News(now time.Time) []Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Crash
	for id, k := range s.requests {
		if now.Sub(k.newest) > suspectTold {
			continue
		}
		for e := range k.endpoints {
			out = append(out, Crash{Request: id, Endpoint: e})
		}
	}
	return out
}

// Open prepares the looks. It comes before Run.
func (s *Suspects) Open() { s.looks = make(chan look, maxLooks) }

// Look has an endpoint looked at whose answer to a request broke off.
func (s *Suspects) Look(q *Request, e *buckthornpin.Endpoint) {
	select {
	case s.looks <- look{request: fingerprint(q), endpoint: e}:
	default:
	}
}

// Run looks at endpoints until ctx ends: one that nothing serves any more right
// after an answer broke off has crashed under its requests.
func (s *Suspects) Run(ctx context.Context, endpoints Endpoints, log zerolog.Logger) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case l := <-s.looks:
			lookCtx, cancel := context.WithTimeout(ctx, crashLook)
			if endpoints.Refuses(lookCtx, l.endpoint.Address) && s.Note(Crash{Request: l.request, Endpoint: l.endpoint.ID}, time.Now()) {
				log.Info().Uint64("fingerprint", l.request).Str("endpoint", l.endpoint.ID).Msg("endpoint crashed under a request")
			}
			cancel()
		}
	}
}
