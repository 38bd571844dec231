package endpt

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"buckthornpin"
)

const (
	// readBuffer is the size of the buffer of one answer's reader.
	readBuffer = 1 << 10
	// cancelTimeout bounds the order to cancel a request.
	cancelTimeout = 2 * time.Second
	// maxErrorBytes bounds what is read of an error's body.
	maxErrorBytes = 4 << 10
)

// Attempt is one run of a request on one endpoint.
type Attempt struct {
	Endpoint buckthornpin.Endpoint
	Request  buckthornpin.Request
	// ID names the request towards the endpoint.
	ID     string
	Number int
	// Offset is the number of output tokens that were delivered before.
	Offset int
}

// Client runs attempts. Its exported fields are set before first use.
type Client struct {
	HTTP *http.Client
	// FreshHTTP opens a new connection for each request.
	FreshHTTP *http.Client
	Scheme    string
	// Secret is shown to endpoints.
	Secret func() string
	// Silence is the longest time without a byte before an attempt counts as
	// broken.
	Silence time.Duration
	// MaxAnswerBytes bounds the answer of a plain service.
	MaxAnswerBytes int64
}

// Chat starts a model engine's answer.
func (c *Client) Chat(ctx context.Context, a Attempt) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Stream{attempt: a, cancel: cancel, watch: watchdog{silence: c.Silence, cancel: cancel}}
	s.watch.start()
	res, err := c.do(ctx, a, http.MethodPost, ChatPath, "application/json") //nolint:bodyclose // Stream.Close closes it.
	if err != nil {
		s.Close()
		return nil, err
	}
	s.body = res.Body
	s.reader = bufio.NewReaderSize(res.Body, readBuffer)
	return s, nil
}

// Answer is a plain service's whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call runs a plain service and returns its whole answer.
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
	return &Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}, nil
}

// do sends an attempt. Once a byte has been written, the attempt counts as run
// unless the endpoint says otherwise.
func (c *Client) do(ctx context.Context, a Attempt, method, path, contentType string) (*http.Response, error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	url := c.Scheme + "://" + a.Endpoint.Address + path
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(a.Request.Body))
	if err != nil {
		return nil, &Error{Op: "run", Kind: KindNotSent, Err: err}
	}
	c.setHeaders(r.Header, a, contentType)
	res, err := c.client(a).Do(r)
	if err != nil && !wrote.Load() {
		return nil, &Error{Op: "run", Kind: KindNotSent, Err: err}
	}
	if err != nil {
		return nil, &Error{Op: "run", Kind: KindBroken, Err: errors.Join(err, context.Cause(ctx))}
	}
	return res, checkStatus(res, a)
}

// client returns the HTTP client for an attempt. A non-idempotent request gets a
// connection of its own: a pooled one may have gone silent unnoticed.
func (c *Client) client(a Attempt) *http.Client {
	if a.Request.NonIdempotent {
		return c.FreshHTTP
	}
	return c.HTTP
}

func (c *Client) setHeaders(h http.Header, a Attempt, contentType string) {
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set(RequestHeader, a.ID)
	h.Set(AttemptHeader, strconv.Itoa(a.Number))
	if a.Offset > 0 {
		h.Set(OffsetHeader, strconv.Itoa(a.Offset))
	}
	if secret := c.Secret(); secret != "" {
		h.Set(SecretHeader, secret)
	}
}

// checkStatus turns refusals and failures of the endpoint into errors. What a
// plain service answers is its answer, whatever the status.
func checkStatus(res *http.Response, a Attempt) error {
	if res.Header.Get(NotRunHeader) == "" && (res.StatusCode == http.StatusOK || a.Request.Target.Service != "") {
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	_ = res.Body.Close()
	err := errors.Errorf("endpoint %s: status %d: %s", a.Endpoint.ID, res.StatusCode, bytes.TrimSpace(text))
	switch {
	case res.Header.Get(LeavingHeader) != "":
		return &Error{Op: "run", Kind: KindLeaving, Err: err}
	case res.Header.Get(NotRunHeader) != "":
		return &Error{Op: "run", Kind: KindRefused, Err: err}
	case res.StatusCode >= http.StatusBadRequest && res.StatusCode < http.StatusInternalServerError:
		return &Error{Op: "run", Kind: KindRejected, Err: err}
	}
	return &Error{Op: "run", Kind: KindBroken, Err: err}
}

// Cancel tells an engine to stop a request.
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
