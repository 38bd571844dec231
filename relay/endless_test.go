package relay

import (
	"bytes"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/memory"
)

// endlessBody yields the same byte without end and counts what was read.
type endlessBody struct {
	read   int
	closed bool
}

func (b *endlessBody) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	b.read += len(p)
	return len(p), nil
}

func (b *endlessBody) Close() error {
	b.closed = true
	return nil
}

func endless(header http.Header) (*Answer, *endlessBody) {
	b := &endlessBody{}
	a := answer(200, nil, header)
	a.Body = b
	return a, b
}

// TestEndlessBody guards against a body without end that reaches the caller as a complete
// answer, cut off at the size limit, and takes the router's memory.
func TestEndlessBody(t *testing.T) {
	for name, header := range map[string]http.Header{"plain": {}, "event without end": {contentType: {eventStream}}} {
		t.Run(name, func(t *testing.T) {
			path := "/safe/x"
			if name != "plain" {
				path = "/resume/x"
			}
			a, body := endless(header)
			next := plain(200, "ok")
			if name != "plain" {
				next = stream(events("1"))
			}
			reply, _, _ := serve(t, path, step{answer: a}, step{answer: next})
			require.Equal(t, 200, reply.status)
			require.Less(t, reply.body.Len(), 100, "the next endpoint's answer")
			require.True(t, body.closed)
			require.LessOrEqual(t, body.read, maxPlainBytes+maxEventBytes)
		})
	}
}

// TestLargeAnswerPasses checks that an honest answer of the largest size passes whole.
func TestLargeAnswerPasses(t *testing.T) {
	text := strings.Repeat("x", maxPlainBytes)
	reply, _, _ := serve(t, "/safe/x", step{answer: plain(200, text)})
	require.Equal(t, len(text), reply.body.Len())
}

// TestManyEndlessBodies guards against bodies that are each within the limit of one answer but
// together exceed the router's memory: further ones fail while the buffers are full.
func TestManyEndlessBodies(t *testing.T) {
	a := &memory.Account{Size: 4 * maxPlainBytes}
	var held []*memory.Buffer
	for {
		part := a.NewAnswer(maxPlainBytes)
		if _, err := part.ReadFrom(io.LimitReader(&endlessBody{}, maxPlainBytes)); err != nil {
			require.ErrorIs(t, err, memory.ErrFull)
			part.Release()
			break
		}
		held = append(held, part)
		require.LessOrEqual(t, int64(len(held)*maxPlainBytes), a.Size/2)
	}
	require.NotEmpty(t, held)
	for _, part := range held {
		part.Release()
	}
	require.Zero(t, a.Usage().Held)
	part := a.NewAnswer(maxPlainBytes)
	_, err := part.ReadFrom(strings.NewReader("ok"))
	require.NoError(t, err)
	require.Equal(t, "ok", string(bytes.Join(part.Pieces(), nil)))
}

// TestLargeAnswerTakesItsSize guards against a router that runs out of memory because a long
// answer is copied as it is read: what it takes is bounded by its size.
func TestLargeAnswerTakesItsSize(t *testing.T) {
	var before, after runtime.MemStats
	a := &memory.Account{}
	part := a.NewAnswer(maxPlainBytes)
	body := io.LimitReader(&endlessBody{}, maxPlainBytes)
	runtime.ReadMemStats(&before)
	_, err := part.ReadFrom(body)
	require.NoError(t, err)
	runtime.ReadMemStats(&after)
	require.Equal(t, int64(maxPlainBytes), part.Len())
	require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(maxPlainBytes*5/4))
	require.LessOrEqual(t, a.Usage().Held, int64(maxPlainBytes+256<<10))
}

// waitingBody yields a part of one event, tells so, and then waits until it is closed.
type waitingBody struct {
	left    int
	waiting chan<- struct{}
	closed  <-chan struct{}
}

func (b *waitingBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.waiting <- struct{}{}
		<-b.closed
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.left)
	for i := range n {
		p[i] = 'x'
	}
	b.left -= n
	return n, nil
}

func (b *waitingBody) Close() error { return nil }

// TestManyEventsWithoutEnd guards against events without end that are each within the limit of
// one event, but together exceed the router's memory.
func TestManyEventsWithoutEnd(t *testing.T) {
	const streams, eventBytes = 128, maxEventBytes * 9 / 10
	r, _, _, _ := scriptedRouter(t)
	r.Memory = &memory.Account{Size: 64 << 20}
	waiting, closed, ended := make(chan struct{}, streams), make(chan struct{}), make(chan error, streams)
	var before, during runtime.MemStats
	// Pieces that other tests have used are freed by the second collection.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	held, refused := 0, 0
	for range streams {
		f := &flight{router: r, reply: &callerRecorder{}}
		a := answer(200, nil, http.Header{contentType: {eventStream}})
		a.Body = &waitingBody{left: eventBytes, waiting: waiting, closed: closed}
		go func() { ended <- f.forwardEvents(a, func() {}) }()
		select {
		case <-waiting:
			held++
		case err := <-ended:
			require.ErrorIs(t, err, memory.ErrFull)
			refused++
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&during)
	require.Positive(t, refused)
	require.LessOrEqual(t, during.HeapAlloc-before.HeapAlloc, uint64(r.Memory.Size/8+streams*4*bodyBuffer))
	close(closed)
	for range held {
		require.ErrorIs(t, <-ended, io.ErrUnexpectedEOF)
	}
	require.Zero(t, r.Memory.Usage().Held, "all memory is given back")
}

// TestLongEventsGiveTheirMemoryBack checks that a stream doesn't keep the memory of a long event.
func TestLongEventsGiveTheirMemoryBack(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("x", maxEventBytes/2) + "\n\n"
	reply, _, _ := serve(t, "/chat/x", step{answer: stream(long + events("234"))})
	require.Equal(t, long+events("234"), reply.body.String())
	require.LessOrEqual(t, cap(withoutFirst(make([]byte, maxEventBytes), maxEventBytes-10)), bodyBuffer)
}
