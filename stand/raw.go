package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
)

// Ending is what a raw endpoint does after it has written an answer.
type Ending int

// The endings of an answer. After a crash, nothing listens on the endpoint's address, and all
// its connections are closed. A connection that is closed before all that has arrived was read
// is reset by the kernel.
const (
	KeepsOpen Ending = iota
	Closes
	Resets
	Crashes
	CrashesWithReset
	// HalfCloses closes the writing side and reads on until the other side closes.
	HalfCloses
	// HalfClosesThenResets closes the writing side and then resets the connection.
	HalfClosesThenResets
	// HalfClosesThenWaits closes the writing side and stops reading until the endpoint is stopped.
	HalfClosesThenWaits
)

// RawEndpoint is an endpoint that answers with given bytes, whether they are an answer in the
// protocol or not. Its exported fields are set before Start.
type RawEndpoint struct {
	// Respond returns the bytes that answer a request and what follows. nth counts the
	// requests on the connection from 1.
	Respond func(r *http.Request, nth int) (string, Ending)
	// AnswersEarly makes it answer once it has read EarlyBytes of a request's body. It reads the
	// rest afterwards if the connection is kept open.
	AnswersEarly bool
	EarlyBytes   int64

	listener    net.Listener
	serving     sync.WaitGroup
	mu          sync.Mutex
	connections []net.Conn
	received    []http.Header
	ended       bool
	// stopped is closed when the endpoint is stopped or crashes.
	stopped chan struct{}
}

// rawEndpoints counts the raw endpoints of this process.
var rawEndpoints atomic.Uint32

// rawAddress returns a loopback address that no other raw endpoint of this process has. After a
// crash nothing else may listen on the endpoint's port, since requests are still sent to it.
func rawAddress() string {
	n := rawEndpoints.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 20+os.Getpid()%20, n/250%250+1, n%250+1)
}

// Start listens on a free port on loopback.
func (e *RawEndpoint) Start() error {
	l, err := net.Listen("tcp", rawAddress())
	if err != nil {
		return &Error{Op: "start raw endpoint", Kind: KindServe, Err: err}
	}
	e.listener, e.stopped = l, make(chan struct{})
	e.serving.Go(e.accept)
	return nil
}

// Address returns IP:PORT.
func (e *RawEndpoint) Address() string { return e.listener.Addr().String() }

// Stop ends the endpoint and waits until nothing of it runs.
func (e *RawEndpoint) Stop() {
	e.end()
	e.serving.Wait()
}

// Ended reports whether the endpoint has crashed or was stopped.
func (e *RawEndpoint) Ended() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// Received returns the headers of the requests so far, in order.
func (e *RawEndpoint) Received() []http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received)
}

// Connections returns the number of connections that were opened so far.
func (e *RawEndpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.connections)
}

func (e *RawEndpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.connections = append(e.connections, c)
		e.mu.Unlock()
		e.serving.Go(func() { e.serve(c) })
	}
}

// end closes the listener and all connections.
func (e *RawEndpoint) end() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ended {
		close(e.stopped)
	}
	e.ended = true
	for _, c := range e.connections {
		_ = c.Close()
	}
}

// serve answers the requests on a connection, one after the other.
func (e *RawEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for nth := 1; ; nth++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if err := e.readBody(r); err != nil {
			return
		}
		e.mu.Lock()
		e.received = append(e.received, r.Header)
		e.mu.Unlock()
		text, then := e.Respond(r, nth)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if then != KeepsOpen {
			e.finish(c.(*net.TCPConn), then)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// readBody reads as much of a request's body as the endpoint wants before it answers.
func (e *RawEndpoint) readBody(r *http.Request) error {
	if !e.AnswersEarly {
		_, err := io.Copy(io.Discard, r.Body)
		return err
	}
	_, err := io.CopyN(io.Discard, r.Body, e.EarlyBytes)
	return err
}

// finish carries out the ending of a connection, up to the close, which is left to the caller.
func (e *RawEndpoint) finish(c *net.TCPConn, then Ending) {
	switch then {
	case HalfCloses, HalfClosesThenResets, HalfClosesThenWaits:
		_ = c.CloseWrite()
	}
	switch then {
	case HalfCloses:
		_, _ = io.Copy(io.Discard, c)
	case HalfClosesThenWaits:
		<-e.stopped
	case Resets, CrashesWithReset, HalfClosesThenResets:
		_ = c.SetLinger(0)
	}
	if then == Crashes || then == CrashesWithReset {
		e.end()
	}
}
