package conn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// readBufferBytes is the size of the read buffer of a pooled connection. It has
	// room for the headers of an answer and a few events.
	readBufferBytes = 4 << 10
	// maxBlockingWriteBytes is the size up to which a request is written whole before
	// the answer is read. A larger request is written concurrently with reading, since
	// its receiver may answer before it has read all of it.
	maxBlockingWriteBytes = 8 << 10
	// DefaultIdleTimeout is how long an idle connection is kept if the other side
	// states no idle timeout.
	DefaultIdleTimeout = 4 * time.Second
	// maxHeadBytes bounds the status line and the headers of an answer, together with the
	// interim answers before it.
	maxHeadBytes = 64 << 10
	// idleMargin is subtracted from the idle timeout that the other side states.
	idleMargin = 500 * time.Millisecond
)

// ErrNotSent means that no byte of a request has left this process.
var ErrNotSent = errors.New("request was not sent")

// Connection is a pooled connection that carries one exchange at a time.
type Connection struct {
	net.Conn
	pool    *Pool
	address string
	reader  *bufio.Reader
	// head bounds what is read of an answer's head.
	head      *headReader
	idleUntil time.Time
	broken    bool
	// reused is set if the connection has carried an earlier exchange.
	reused bool
	// stopAfterFunc is the stop function that context.AfterFunc returned.
	stopAfterFunc func() bool
	// largeWrite is the write of a large request; nil if there is none.
	largeWrite *pendingWrite
}

// Response is the answer to a request. Its Body must be closed.
type Response struct {
	*http.Response
	// Reused is set if the connection has carried an earlier exchange. Bytes that are left
	// of it may look like an answer.
	Reused bool
	// Unframed is set if the body ends with its connection.
	Unframed   bool
	connection *Connection
}

// Unframed reports whether the body of an answer ends with its connection, so that nothing else
// shows where it ends.
func Unframed(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Body != http.NoBody
}

// Body is the body of a request.
type Body interface {
	// Len returns the length in bytes.
	Len() int64
	// Lend returns the content for one use, and the function that ends the loan.
	Lend() (content net.Buffers, end func())
}

// Exchange sends a request and reads the headers of the answer. The request is given as the
// bytes of its head and its body, which may be nil. An error that is ErrNotSent means that no
// byte of the request was sent. The end of ctx ends the exchange, also while the body is read.
func (p *Pool) Exchange(ctx context.Context, address, method string, head []byte, body Body) (*Response, error) {
	c, err := p.connection(ctx, address)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	c.stopAfterFunc = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	r, err := c.exchange(method, head, body)
	if err != nil {
		c.discard()
		return nil, err
	}
	return r, nil
}

func (c *Connection) exchange(method string, head []byte, body Body) (*Response, error) {
	c.broken = true
	if err := c.write(head, body); err != nil {
		return nil, err
	}
	return c.readResponse(method)
}

// readResponse reads the head of the next answer that isn't an interim one.
func (c *Connection) readResponse(method string) (*Response, error) {
	c.head.begin()
	defer c.head.end()
	request := &http.Request{Method: method}
	for {
		r, err := http.ReadResponse(c.reader, request) //nolint:bodyclose // pooledBody closes it.
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 && r.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if err := checkHead(r); err != nil {
			return nil, err
		}
		out := &Response{Response: r, Reused: c.reused, Unframed: Unframed(r), connection: c}
		r.Body = &pooledBody{body: checkTrailer(r), response: out}
		return out, nil
	}
}

// errHeadTooLong is returned if the head of an answer exceeds maxHeadBytes.
var errHeadTooLong = errors.New("head of the answer is too long")

// headReader reads a connection. It fails while a head is read and more than maxHeadBytes
// have been read of it.
type headReader struct {
	io.Reader
	inHead bool
	left   int
}

func (r *headReader) begin() { r.inHead, r.left = true, maxHeadBytes }

func (r *headReader) end() { r.inHead = false }

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.Reader.Read(p)
	}
	if r.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.Reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// write writes a small request before it returns. It writes a large one in a goroutine,
// so that the answer can be read at the same time.
func (c *Connection) write(head []byte, body Body) error {
	size := int64(len(head))
	var content net.Buffers
	end := func() {}
	if body != nil {
		size += body.Len()
		content, end = body.Lend()
	}
	if size <= maxBlockingWriteBytes {
		defer end()
		n, err := c.Write(append(head, bytes.Join(content, nil)...))
		c.pool.countWritten(int64(n))
		if err != nil && n == 0 {
			return errors.Join(ErrNotSent, err)
		}
		return err
	}
	w := newPendingWrite()
	c.largeWrite = w
	go func() {
		defer end()
		all := append(net.Buffers{head}, content...)
		n, err := all.WriteTo(c.Conn)
		c.pool.countWritten(n)
		w.end(err)
	}()
	return nil
}

// ReadNext discards this answer, which belongs to an earlier exchange, and reads the
// next answer on the same connection.
func (r *Response) ReadNext(method string) (*Response, error) {
	if _, err := io.Copy(io.Discard, r.Response.Body.(*pooledBody).body); err != nil {
		return nil, errors.Wrap(err, "discard earlier answer")
	}
	return r.connection.readResponse(method)
}

// pooledBody returns the connection to the pool on Close if the body was read to its
// end and the connection can be used again. Otherwise Close closes the connection.
type pooledBody struct {
	body     io.ReadCloser
	response *Response
	whole    bool
}

// Read implements io.Reader.
func (b *pooledBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if r := b.response; r.Unframed && r.connection != nil {
		if cut := r.connection.largeWrite.checkEnd(); cut != nil {
			return n, cut
		}
	}
	b.whole = true
	return n, err
}

// Close implements io.Closer.
func (b *pooledBody) Close() error {
	r, c := b.response, b.response.connection
	if c == nil {
		return nil
	}
	r.connection = nil
	reusable := b.whole && !r.Unframed && !r.Close && c.largeWrite.hasSucceeded() && c.reader.Buffered() == 0
	if !reusable || !c.stopAfterFunc() {
		c.discard()
		return nil
	}
	c.broken, c.reused, c.largeWrite = false, true, nil
	c.idleUntil = time.Now().Add(peerIdleTimeout(r.Header))
	c.pool.putIdle(c)
	return nil
}

// peerIdleTimeout returns how long an idle connection may be kept: the timeout in the
// Keep-Alive header of the other side less idleMargin, or DefaultIdleTimeout.
func peerIdleTimeout(h http.Header) time.Duration {
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
	return DefaultIdleTimeout
}

func (c *Connection) discard() {
	if c.stopAfterFunc != nil {
		c.stopAfterFunc()
	}
	_ = c.Close()
}
