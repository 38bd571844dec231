package endpt

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"buckthornpin"
	"buckthornpin/conn"
)

const (
	// readBufferBytes is the size of the read buffer of one streamed answer.
	readBufferBytes = 1 << 10
	// cancelTimeout is the timeout of the call that cancels a request.
	cancelTimeout = 2 * time.Second
	// maxErrorBytes is how much of an error response's body is read.
	maxErrorBytes = 4 << 10
)

// Attempt is one attempt to run a request on one endpoint.
type Attempt struct {
	Endpoint buckthornpin.Endpoint
	Request  buckthornpin.Request
	// RequestID is the request's id in the endpoint protocol.
	RequestID string
	// Number is the number of the attempt, from 1.
	Number int
	// Offset is the number of output tokens that earlier attempts delivered.
	Offset int
}

// Client runs attempts on endpoints. Its exported fields must be set before first
// use.
type Client struct {
	// HTTP reuses connections.
	HTTP *http.Client
	// UnpooledHTTP opens a new connection for each request.
	UnpooledHTTP *http.Client
	// Scheme is http or https.
	Scheme string
	// Secret returns the secret that is sent to endpoints; empty sends none.
	Secret func() string
	// SilenceTimeout is the longest wait for the first line of a streamed answer,
	// and for each further line, before the attempt is treated as broken; 0 sets
	// no limit.
	SilenceTimeout time.Duration
	// MaxAnswerBytes is the largest body of a plain service's answer.
	MaxAnswerBytes int64
	// ObserveLimit is called with what each answer says of its endpoint's limit, and when
	// its request was sent; nil if limits aren't kept.
	ObserveLimit func(a Attempt, l buckthornpin.StatedLimit, sentAt time.Time)
	// ObservePause is called with each pause that an endpoint asks for as it turns an attempt
	// away; nil if pauses aren't kept.
	ObservePause func(a Attempt, p buckthornpin.StatedPause)
	// ObserveLeaving is called if an answer says that its endpoint takes no new work; nil
	// ignores that. The answer itself counts.
	ObserveLeaving func(a Attempt)
	// RefusesConnections reports whether nothing listens on an address.
	RefusesConnections func(ctx context.Context, address string) bool

	// echoing holds the incarnations of the endpoints whose answers have repeated the id of
	// the request and the number of the attempt, by address.
	echoing sync.Map
}

// Chat sends an attempt to a model engine and returns the stream of its answer. The
// stream must be closed.
func (c *Client) Chat(ctx context.Context, a Attempt) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Stream{attempt: a, cancel: cancel, watchdog: watchdog{silence: c.SilenceTimeout, cancel: cancel}}
	s.watchdog.start()
	res, err := c.do(ctx, a, http.MethodPost, ChatPath, "application/json") //nolint:bodyclose // Stream.Close closes it.
	if err != nil {
		s.Close()
		return nil, err
	}
	s.body = res.Body
	s.reader = bufio.NewReaderSize(res.Body, readBufferBytes)
	return s, nil
}

// Answer is the complete answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call sends an attempt to a plain service and returns its complete answer.
func (c *Client) Call(ctx context.Context, a Attempt) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	path := ServicePath + a.Request.Target.Service + a.Request.Path
	res, err := c.do(ctx, a, a.Request.Method, path, a.Request.ContentType)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, c.MaxAnswerBytes+1))
	if err != nil {
		return nil, &Error{Op: "call", Kind: KindBroken, Err: err}
	}
	if int64(len(body)) > c.MaxAnswerBytes {
		return nil, &Error{Op: "call", Kind: KindBroken, Err: errors.Errorf("answer is larger than %d bytes", c.MaxAnswerBytes)}
	}
	if err := c.checkEnd(ctx, res, a, len(body) == 0); err != nil {
		return nil, err
	}
	return &Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}, nil
}

// checkEnd checks an answer that has been read to its end.
func (c *Client) checkEnd(ctx context.Context, res *http.Response, a Attempt, empty bool) error {
	if !conn.Unframed(res) {
		return nil
	}
	end := buckthornpin.UnframedEnd{Address: a.Endpoint.Address, Status: res.StatusCode, Empty: empty, Leaving: res.Header.Get(LeavingHeader) != ""}
	if err := end.Check(ctx, c.RefusesConnections); err != nil {
		return &Error{Op: "call", Kind: KindBroken, Err: err}
	}
	return nil
}

// do sends an attempt. Once it has a connection, bytes may have been sent, so the
// attempt is treated as run unless the endpoint states otherwise.
func (c *Client) do(ctx context.Context, a Attempt, method, path, contentType string) (*http.Response, error) {
	var connection atomic.Pointer[httptrace.GotConnInfo]
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { connection.Store(&i) }}
	url := c.Scheme + "://" + a.Endpoint.Address + path
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(a.Request.Body))
	if err != nil {
		return nil, &Error{Op: "run", Kind: KindNotSent, Err: err}
	}
	c.setHeaders(r.Header, a, contentType)
	sentAt := time.Now()
	res, err := c.client(a).Do(r)
	if err != nil && connection.Load() == nil {
		return nil, &Error{Op: "run", Kind: KindNotSent, Err: err}
	}
	if err != nil {
		return nil, &Error{Op: "run", Kind: KindBroken, Err: errors.Join(err, context.Cause(ctx))}
	}
	if c.ObserveLeaving != nil && res.Header.Get(LeavingHeader) != "" {
		c.ObserveLeaving(a)
	}
	if err := c.checkEcho(res, a, connection.Load()); err != nil {
		return nil, err
	}
	l := buckthornpin.ParseStatedLimit(res.Header.Get(LimitHeader))
	if c.ObserveLimit != nil && (l.Stated || res.Header.Get(NotRunHeader) == "") {
		c.ObserveLimit(a, l, sentAt)
	}
	c.observePause(res, a)
	return res, checkStatus(res, a)
}

// checkEcho returns an error of KindMismatch, and closes the connection, if an answer may
// belong to another attempt: it repeats another id, or none on a connection that was used
// before. An endpoint may write an earlier answer once more. If it says that it didn't run
// that one, this attempt may be running.
func (c *Client) checkEcho(res *http.Response, a Attempt, on *httptrace.GotConnInfo) error {
	id, number := res.Header.Get(RequestHeader), res.Header.Get(AttemptHeader)
	if id == a.RequestID && number == strconv.Itoa(a.Number) {
		if !c.echoes(a.Endpoint) {
			c.echoing.Store(a.Endpoint.Address, a.Endpoint.Incarnation)
		}
		return nil
	}
	if id == "" && !on.Reused {
		return nil
	}
	_ = on.Conn.Close() // Closing the body may leave the connection to the next request.
	_ = res.Body.Close()
	return &Error{Op: "run", Kind: KindMismatch, Err: errors.Errorf("endpoint %s: answer to request %q, attempt %q", a.Endpoint.ID, id, number)}
}

// echoes reports whether an incarnation of an endpoint is known to repeat ids.
func (c *Client) echoes(e buckthornpin.Endpoint) bool {
	incarnation, ok := c.echoing.Load(e.Address)
	return ok && incarnation == e.Incarnation
}

// observePause passes on the pause that an endpoint asks for. A plain service's own 503 is an
// answer to the caller, and so is its Retry-After.
func (c *Client) observePause(res *http.Response, a Attempt) {
	if c.ObservePause == nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get(NotRunHeader) == "" {
		return
	}
	p := buckthornpin.ParseStatedPause(res.Header.Get("Retry-After"), res.Header.Get("Date"), time.Now())
	if p != (buckthornpin.StatedPause{}) {
		c.ObservePause(a, p)
	}
}

// client returns the HTTP client for an attempt. A non-idempotent request gets a new
// connection, since a pooled one may have failed without being noticed. So does a request
// to an endpoint that isn't known to repeat the ids of requests, since an answer may be left
// on a pooled one.
func (c *Client) client(a Attempt) *http.Client {
	if a.Request.NonIdempotent || !c.echoes(a.Endpoint) {
		return c.UnpooledHTTP
	}
	return c.HTTP
}

func (c *Client) setHeaders(h http.Header, a Attempt, contentType string) {
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set(RequestHeader, a.RequestID)
	h.Set(AttemptHeader, strconv.Itoa(a.Number))
	if a.Offset > 0 {
		h.Set(OffsetHeader, strconv.Itoa(a.Offset))
	}
	if secret := c.Secret(); secret != "" {
		h.Set(SecretHeader, secret)
	}
}

// checkStatus returns an error if the endpoint refused the attempt or failed. The
// response of a plain service that ran is an answer whatever its status.
func checkStatus(res *http.Response, a Attempt) error {
	if res.Header.Get(NotRunHeader) == "" && (res.StatusCode == http.StatusOK || a.Request.Target.Service != "") {
		return nil
	}
	body, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	_ = res.Body.Close()
	err := errors.Errorf("endpoint %s: status %d: %s", a.Endpoint.ID, res.StatusCode, bytes.TrimSpace(body))
	switch {
	case res.Header.Get(NotRunHeader) != "" && res.Header.Get(LeavingHeader) != "":
		return &Error{Op: "run", Kind: KindLeaving, Err: err}
	case res.Header.Get(NotRunHeader) != "":
		return &Error{Op: "run", Kind: KindRefused, Err: err}
	case res.StatusCode >= http.StatusBadRequest && res.StatusCode < http.StatusInternalServerError:
		return &Error{Op: "run", Kind: KindRejected, Err: err}
	}
	return &Error{Op: "run", Kind: KindBroken, Err: err}
}

// Cancel tells a model engine to stop running a request.
func (c *Client) Cancel(ctx context.Context, e buckthornpin.Endpoint, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.Scheme+"://"+e.Address+CancelPath+id, nil)
	if err != nil {
		return &Error{Op: "cancel", Kind: KindNotSent, Err: err}
	}
	if secret := c.Secret(); secret != "" {
		r.Header.Set(SecretHeader, secret)
	}
	res, err := c.HTTP.Do(r)
	if err != nil {
		return &Error{Op: "cancel", Kind: KindBroken, Err: err}
	}
	return buckthornpin.WrapIf(res.Body.Close(), "close")
}
