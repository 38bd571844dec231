// Package caller implements the HTTP interface of callers: OpenAI-style chat
// completions, sent whole or as server-sent events, and calls to plain services. Its
// handlers only translate between HTTP and package router, which makes the decisions.
package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"expvar"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"buckthornpin"
	"buckthornpin/router"
	"buckthornpin/stream"
	"buckthornpin/wire"
)

// Headers of callers' requests and of the answers to them.
const (
	// KeyHeader holds the request's idempotency key; the router generates one if it
	// is missing.
	KeyHeader = "Idempotency-Key"
	// AttemptHeader is the number of the attempt under the key, counted by the caller.
	AttemptHeader = "Idempotency-Attempt"
	// NonIdempotentHeader marks a request that runs at most once.
	NonIdempotentHeader = "Non-Idempotent"
	// DeadlineHeader is how long the caller waits for the answer, in milliseconds.
	DeadlineHeader = "Request-Deadline-Ms"
	// PriorityHeader orders waiting requests by a number from -10 to 10, the highest
	// first.
	PriorityHeader = "Request-Priority"
	// OutcomeHeader states the outcome of a refused request.
	OutcomeHeader = "Request-Outcome"
	// LastEventHeader resumes a stream after the event with this id.
	LastEventHeader = "Last-Event-ID"
)

const (
	maxKeyBytes = 128
	maxPriority = 10
)

// Accounts looks up organisations by key and holds the policy in force.
type Accounts interface {
	// OrganisationByKeyHash returns the organisation that owns the key with this hash,
	// see HashKey.
	OrganisationByKeyHash(hash string) (*wire.OrganisationState, bool)
	Policy() buckthornpin.Policy
}

// Starter starts requests.
type Starter interface {
	// Start returns a reader of the answer that skips the first offset output tokens,
	// or the reason why the request is refused.
	Start(r buckthornpin.Request, offset int) (*stream.Reader, *buckthornpin.Refusal)
}

// Models lists the models that endpoints serve at present.
type Models interface {
	Models() []string
}

// Server serves callers. Its exported fields must be set before Handler is called.
type Server struct {
	Accounts Accounts
	Router   Starter
	Models   Models
	Events   buckthornpin.Recorder
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// DefaultDeadline is the time limit of a request without DeadlineHeader.
	DefaultDeadline time.Duration
	// KeepAlive is the interval between keep-alive comments on an idle stream.
	KeepAlive time.Duration
	// WriteTimeout bounds how long a caller may take to accept each part of its
	// answer.
	WriteTimeout time.Duration
	// Draining reports whether new requests are refused because the router is
	// stopping.
	Draining func() bool

	unauthorised expvar.Int
}

// Handler returns the HTTP handler of all calls.
func (s *Server) Handler() (http.Handler, error) {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog, iris.WithoutBanner, iris.WithoutPathCorrectionRedirection)
	v1 := app.Party("/v1")
	v1.Get("/models", s.listModels)
	v1.Post("/chat/completions", s.chatCompletions)
	app.Any("/services/{name:string}", s.callService)
	app.Any("/services/{name:string}/{rest:path}", s.callService)
	return app, buckthornpin.WrapIf(app.Build(), "build caller handler")
}

// Unauthorised returns the counter of calls without a valid key.
func (s *Server) Unauthorised() *expvar.Int { return &s.unauthorised }

// HashKey returns the hash under which a key is stored: its SHA-256 in hexadecimal
// digits.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// authenticate returns the caller's organisation, or refuses the call.
func (s *Server) authenticate(ctx iris.Context) (*wire.OrganisationState, bool) {
	key, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	if ok {
		if o, known := s.Accounts.OrganisationByKeyHash(HashKey(key)); known {
			return o, true
		}
	}
	s.unauthorised.Add(1)
	s.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventUnauthorised, Detail: ctx.RemoteAddr()})
	refuse(ctx, router.NewRefusal(http.StatusUnauthorized, router.CodeUnauthorised, "expected Authorization: Bearer KEY with a valid key", ctx.GetHeader(KeyHeader) == "", 0))
	return nil, false
}

// readRequest authenticates the caller and reads what chat and service requests have
// in common, or refuses the call.
func (s *Server) readRequest(ctx iris.Context) (buckthornpin.Request, *wire.OrganisationState, bool) {
	o, ok := s.authenticate(ctx)
	if !ok {
		return buckthornpin.Request{}, nil, false
	}
	r, err := s.readHeaders(ctx, o)
	if err != nil {
		refuse(ctx, invalidRequest(ctx, err))
		return r, nil, false
	}
	if s.Draining() {
		refuse(ctx, router.NewRefusal(http.StatusServiceUnavailable, router.CodeDraining, "this router is stopping", r.KeyGenerated, time.Second))
		return r, nil, false
	}
	r.Body, err = s.readBody(ctx)
	if err != nil {
		refuse(ctx, router.NewRefusal(http.StatusRequestEntityTooLarge, router.CodeTooLarge, err.Error(), r.KeyGenerated, 0))
		return r, nil, false
	}
	r.Digest = digest(r.Body, ctx.Method(), ctx.Path())
	ctx.Header(KeyHeader, r.Key.Key)
	return r, o, true
}

func (s *Server) readHeaders(ctx iris.Context, o *wire.OrganisationState) (buckthornpin.Request, error) {
	r := buckthornpin.Request{Key: buckthornpin.RequestKey{Organisation: o.GetOrganisation(), Key: ctx.GetHeader(KeyHeader)}}
	if r.Key.Key == "" {
		r.KeyGenerated = true
		r.Key.Key = uuid.NewString()
	}
	if !validKey(r.Key.Key) {
		return r, invalidHeader(KeyHeader, "1 to 128 printable characters without space or slash")
	}
	var err error
	if r.Attempt, err = headerNumber(ctx, AttemptHeader, 0, 0, 1<<20); err != nil {
		return r, err
	}
	if r.Priority, err = headerNumber(ctx, PriorityHeader, 0, -maxPriority, maxPriority); err != nil {
		return r, err
	}
	maxDeadlineMS := int(s.Accounts.Policy().MaxDeadlineMS)
	deadlineMS, err := headerNumber(ctx, DeadlineHeader, min(int(s.DefaultDeadline.Milliseconds()), maxDeadlineMS), 1, maxDeadlineMS)
	if err != nil {
		return r, err
	}
	r.Deadline = time.Now().Add(time.Duration(deadlineMS) * time.Millisecond)
	if v := ctx.GetHeader(NonIdempotentHeader); v != "" {
		if r.NonIdempotent, err = strconv.ParseBool(v); err != nil {
			return r, invalidHeader(NonIdempotentHeader, "true or false")
		}
	}
	return r, nil
}

func (s *Server) readBody(ctx iris.Context) ([]byte, error) {
	ctx.SetMaxRequestBodySize(s.MaxBodyBytes)
	body, err := ctx.GetBody()
	return body, buckthornpin.WrapIf(err, fmt.Sprintf("body: expected at most %d bytes", s.MaxBodyBytes))
}

func validKey(key string) bool {
	if len(key) > maxKeyBytes {
		return false
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c >= 0x7f || c == '/' {
			return false
		}
	}
	return true
}

// headerNumber parses a header as a number from lowest to highest; without the header
// it returns fallback.
func headerNumber(ctx iris.Context, header string, fallback, lowest, highest int) (int, error) {
	v := ctx.GetHeader(header)
	if v == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < lowest || n > highest {
		return 0, invalidHeader(header, "a number from "+strconv.Itoa(lowest)+" to "+strconv.Itoa(highest))
	}
	return n, nil
}

func invalidHeader(header, expected string) error {
	return &Error{Op: "header " + header, Kind: KindInvalid, Err: errors.New("expected " + expected)}
}

// digest returns a hash of a request's parts and body, so that a different request
// under the same key is recognised.
func digest(body []byte, parts ...string) string {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p + "\n")
	}
	_, _ = d.Write(body)
	return strconv.FormatUint(d.Sum64(), 16)
}

// invalidRequest returns the refusal of a request that can't be decoded.
func invalidRequest(ctx iris.Context, err error) *buckthornpin.Refusal {
	return router.NewRefusal(http.StatusBadRequest, router.CodeInvalid, err.Error(), ctx.GetHeader(KeyHeader) == "", 0)
}

// mayUse reports whether an organisation may use a model or service. An organisation
// without a list of them may use all.
func mayUse(o *wire.OrganisationState, name string) bool {
	if len(o.GetServices()) == 0 {
		return true
	}
	for _, s := range o.GetServices() {
		if s == name {
			return true
		}
	}
	return false
}
