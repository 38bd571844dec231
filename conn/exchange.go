package conn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// exchangeBuffer is the size of the read buffer of a pooled connection: an
	// answer's headers and a few events.
	exchangeBuffer = 4 << 10
	// aloneBytes is the size up to which a request is written before the answer
	// is read; a larger one is written beside, as its receiver may answer early.
	aloneBytes = 8 << 10
	// DefaultIdle is how long an idle connection is kept where the other side
	// doesn't say.
	DefaultIdle = 4 * time.Second
	// idleMargin is kept from the idle time that the other side says.
	idleMargin = 500 * time.Millisecond
)

// ErrNotSent says that no byte of a request has left this process.
var ErrNotSent = errors.New("request wasn't sent")

// Link is one connection that carries one exchange at a time.
type Link struct {
	net.Conn
	pool    *Pool
	address string
	br      *bufio.Reader
	until   time.Time
	broken  bool
	stop    func() bool
	written chan error
}

// Response is the answer to an exchange. Its Body has to be closed.
type Response struct {
	*http.Response
	link *Link
}

// Exchange sends a request, given as its bytes, and reads the head of the
// answer. An error that is ErrNotSent says that nothing has left. The exchange
// ends with ctx, also while the body is read.
func (p *Pool) Exchange(ctx context.Context, address, method string, head, body []byte) (*Response, error) {
	l, err := p.link(ctx, address)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	l.stop = context.AfterFunc(ctx, func() { _ = l.SetDeadline(time.Unix(1, 0)) })
	r, err := l.exchange(method, head, body)
	if err != nil {
		l.discard()
		return nil, err
	}
	return r, nil
}

func (l *Link) exchange(method string, head, body []byte) (*Response, error) {
	l.broken = true
	if err := l.write(head, body); err != nil {
		return nil, err
	}
	request := &http.Request{Method: method}
	for {
		r, err := http.ReadResponse(l.br, request) //nolint:bodyclose // linkBody closes it.
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 && r.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		out := &Response{Response: r, link: l}
		r.Body = &linkBody{body: r.Body, response: out}
		return out, nil
	}
}

// write sends a small request at once, and a large one beside the reading.
func (l *Link) write(head, body []byte) error {
	if len(head)+len(body) <= aloneBytes {
		n, err := l.Write(append(head, body...))
		l.pool.wrote(int64(n))
		if err != nil && n == 0 {
			return errors.Join(ErrNotSent, err)
		}
		return err
	}
	l.written = make(chan error, 1)
	go func() {
		buffers := net.Buffers{head, body}
		n, err := buffers.WriteTo(l.Conn)
		l.pool.wrote(n)
		l.written <- err
	}()
	return nil
}

// Renew reads the next answer on the same connection in place of one that
// belongs to an earlier exchange.
func (r *Response) Renew(method string) (*Response, error) {
	if _, err := io.Copy(io.Discard, r.Response.Body.(*linkBody).body); err != nil {
		return nil, errors.Wrap(err, "skip answer")
	}
	next, err := http.ReadResponse(r.link.br, &http.Request{Method: method}) //nolint:bodyclose // linkBody closes it.
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	out := &Response{Response: next, link: r.link}
	next.Body = &linkBody{body: next.Body, response: out}
	return out, nil
}

// linkBody gives the connection back once the body was read to its end.
type linkBody struct {
	body     io.ReadCloser
	response *Response
	whole    bool
}

// Read implements io.Reader.
func (b *linkBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *linkBody) Close() error {
	r, l := b.response, b.response.link
	if l == nil {
		return nil
	}
	r.link = nil
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	reusable := b.whole && framed && !r.Close && l.allWritten() && l.br.Buffered() == 0
	if !reusable || !l.stop() {
		l.discard()
		return nil
	}
	l.broken = false
	l.until = time.Now().Add(idleTime(r.Header))
	l.pool.put(l)
	return nil
}

func (l *Link) allWritten() bool {
	if l.written == nil {
		return true
	}
	select {
	case err := <-l.written:
		l.written = nil
		return err == nil
	default:
		return false
	}
}

// idleTime returns how long the other side keeps an idle connection.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		d, err := time.ParseDuration(value + "s")
		if err == nil {
			return max(d-idleMargin, 0)
		}
	}
	return DefaultIdle
}

func (l *Link) discard() {
	if l.stop != nil {
		l.stop()
	}
	_ = l.Close()
}
