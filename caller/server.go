// Package caller serves callers over HTTP: OpenAI-style chat completions, whole
// and as server-sent events, and calls to plain services. Its handlers only
// translate; package router decides.
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

// Headers of the callers' interface.
const (
	// KeyHeader names the request; a router makes a key where it is missing.
	KeyHeader = "Idempotency-Key"
	// AttemptHeader is the caller's count of its attempts under a key.
	AttemptHeader = "Idempotency-Attempt"
	// NonIdempotentHeader marks a request that runs at most once.
	NonIdempotentHeader = "Non-Idempotent"
	// DeadlineHeader is the time a caller waits, in milliseconds.
	DeadlineHeader = "Request-Deadline-Ms"
	// PriorityHeader orders waiting requests: -10 to 10, the highest first.
	PriorityHeader = "Request-Priority"
	// OutcomeHeader states the outcome of a refused request.
	OutcomeHeader = "Request-Outcome"
	// LastEventHeader resumes a stream after the event it names.
	LastEventHeader = "Last-Event-ID"
)

const (
	maxKeyBytes = 128
	maxPriority = 10
)

// Accounts knows the callers' keys.
type Accounts interface {
	// Caller returns the organisation of a key by the key's hash.
	Caller(hash string) (*wire.OrganisationState, bool)
	Policy() buckthornpin.Policy
}

// Starter begins requests.
type Starter interface {
	Start(r buckthornpin.Request, offset int) (*stream.Reader, *buckthornpin.Refusal)
}

// Models lists the models in service.
type Models interface {
	Models() []string
}

// Server serves callers. Its exported fields are set before Handler.
type Server struct {
	Accounts Accounts
	Router   Starter
	Models   Models
	Events   buckthornpin.Recorder
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// DefaultDeadline is the deadline of a request that names none.
	DefaultDeadline time.Duration
	// KeepAlive is the time between comments on a silent stream.
	KeepAlive time.Duration
	// WriteTimeout bounds how long a caller may take to accept a part of its
	// answer.
	WriteTimeout time.Duration
	// Draining reports whether new work is refused.
	Draining func() bool

	unauthorised expvar.Int
}

// Handler returns the HTTP handler.
func (s *Server) Handler() (http.Handler, error) {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog, iris.WithoutBanner, iris.WithoutPathCorrectionRedirection)
	v1 := app.Party("/v1")
	v1.Get("/models", s.listModels)
	v1.Post("/chat/completions", s.chat)
	app.Any("/services/{name:string}", s.service)
	app.Any("/services/{name:string}/{rest:path}", s.service)
	return app, buckthornpin.WrapIf(app.Build(), "build caller handler")
}

// Unauthorised counts the calls without a valid key.
func (s *Server) Unauthorised() *expvar.Int { return &s.unauthorised }

// Hash returns the hash under which a key is stored.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// organisation identifies the caller, or answers the call with a refusal.
func (s *Server) organisation(ctx iris.Context) (*wire.OrganisationState, bool) {
	key, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	if ok {
		if o, known := s.Accounts.Caller(Hash(key)); known {
			return o, true
		}
	}
	s.unauthorised.Add(1)
	s.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventUnauthorised, Detail: ctx.RemoteAddr()})
	refuse(ctx, router.NewRefusal(http.StatusUnauthorized, router.CodeUnauthorised, "expected Authorization: Bearer KEY with a valid key", ctx.GetHeader(KeyHeader) == "", 0))
	return nil, false
}

// request reads what all kinds of requests have in common.
func (s *Server) request(ctx iris.Context) (buckthornpin.Request, *wire.OrganisationState, bool) {
	o, ok := s.organisation(ctx)
	if !ok {
		return buckthornpin.Request{}, nil, false
	}
	r, err := s.readHeaders(ctx, o)
	if err != nil {
		refuse(ctx, invalid(ctx, err))
		return r, nil, false
	}
	if s.Draining() {
		refuse(ctx, router.NewRefusal(http.StatusServiceUnavailable, router.CodeDraining, "this router is stopping", r.Fresh, time.Second))
		return r, nil, false
	}
	r.Body, err = s.readBody(ctx)
	if err != nil {
		refuse(ctx, router.NewRefusal(http.StatusRequestEntityTooLarge, router.CodeTooLarge, err.Error(), r.Fresh, 0))
		return r, nil, false
	}
	r.Digest = digest(r.Body, ctx.Method(), ctx.Path())
	ctx.Header(KeyHeader, r.Key.Key)
	return r, o, true
}

func (s *Server) readHeaders(ctx iris.Context, o *wire.OrganisationState) (buckthornpin.Request, error) {
	r := buckthornpin.Request{Key: buckthornpin.RequestKey{Organisation: o.GetOrganisation(), Key: ctx.GetHeader(KeyHeader)}}
	if r.Key.Key == "" {
		r.Fresh = true
		r.Key.Key = uuid.NewString()
	}
	if !validKey(r.Key.Key) {
		return r, invalidHeader(KeyHeader, "1 to 128 printable characters without space or slash")
	}
	var err error
	if r.Attempt, err = number(ctx, AttemptHeader, 0, 0, 1<<20); err != nil {
		return r, err
	}
	if r.Priority, err = number(ctx, PriorityHeader, 0, -maxPriority, maxPriority); err != nil {
		return r, err
	}
	longest := int(s.Accounts.Policy().MaxDeadlineMS)
	waits, err := number(ctx, DeadlineHeader, min(int(s.DefaultDeadline.Milliseconds()), longest), 1, longest)
	if err != nil {
		return r, err
	}
	r.Deadline = time.Now().Add(time.Duration(waits) * time.Millisecond)
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

// number reads a header as a number from lowest to highest.
func number(ctx iris.Context, header string, missing, lowest, highest int) (int, error) {
	v := ctx.GetHeader(header)
	if v == "" {
		return missing, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < lowest || n > highest {
		return 0, invalidHeader(header, "a number from "+strconv.Itoa(lowest)+" to "+strconv.Itoa(highest))
	}
	return n, nil
}

func invalidHeader(header, want string) error {
	return &Error{Op: "header " + header, Kind: KindInvalid, Err: errors.New("expected " + want)}
}

func digest(body []byte, parts ...string) string {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p + "\n")
	}
	_, _ = d.Write(body)
	return strconv.FormatUint(d.Sum64(), 16)
}

func invalid(ctx iris.Context, err error) *buckthornpin.Refusal {
	return router.NewRefusal(http.StatusBadRequest, router.CodeInvalid, err.Error(), ctx.GetHeader(KeyHeader) == "", 0)
}

func allowed(o *wire.OrganisationState, name string) bool {
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
