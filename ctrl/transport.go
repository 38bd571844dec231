package ctrl

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"buckthornpin"
	"buckthornpin/wire"
)

const (
	// sendQueueLength bounds the messages that wait for one replica, and the messages
	// in one request.
	sendQueueLength = 512
	// reconnectPause is the pause before a broken stream is opened again.
	reconnectPause = 50 * time.Millisecond
)

// StreamTransport is a Transport that keeps one stream to each replica. Messages on a
// stream keep their order. The exported fields are set before Open.
type StreamTransport struct {
	HTTP    *http.Client
	Scheme  string
	Options []connect.ClientOption

	ctx     context.Context
	mu      sync.Mutex
	queues  map[string]chan *wire.Message
	streams sync.WaitGroup
}

// Open prepares the transport, and must be called before Send. The streams end with ctx.
func (t *StreamTransport) Open(ctx context.Context) {
	t.ctx = ctx
	t.queues = map[string]chan *wire.Message{}
}

// Run returns once ctx has ended and all streams are closed.
func (t *StreamTransport) Run(ctx context.Context) error {
	<-ctx.Done()
	t.streams.Wait()
	return nil
}

// Send implements Transport. It queues a message, or drops it if the queue is full.
func (t *StreamTransport) Send(to *wire.Member, m *wire.Message) {
	select {
	case t.queue(to.GetAddress()) <- m:
	default:
	}
}

// queue returns the queue of an address. The first use starts its stream.
func (t *StreamTransport) queue(address string) chan *wire.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.queues[address]
	if !ok {
		q = make(chan *wire.Message, sendQueueLength)
		t.queues[address] = q
		c := wire.NewReplicasClient(t.HTTP, t.Scheme+"://"+address, t.Options...)
		t.streams.Go(func() { t.keepStream(c, q) })
	}
	return q
}

// keepStream keeps a stream to one replica open. Messages lost with a broken stream
// aren't sent again here: the quorum protocol repeats those that matter.
func (t *StreamTransport) keepStream(c wire.ReplicasClient, q chan *wire.Message) {
	for t.ctx.Err() == nil {
		t.sendOnStream(c, q)
		discardQueued(q)
		buckthornpin.Wait(t.ctx, reconnectPause)
	}
}

// sendOnStream opens a stream and sends queued messages on it until it breaks.
func (t *StreamTransport) sendOnStream(c wire.ReplicasClient, q chan *wire.Message) {
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	s, err := c.Deliver(ctx)
	if err != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-q:
			if s.Send(&wire.DeliverRequest{Messages: takeQueued(m, q)}) != nil {
				return
			}
		}
	}
}

// discardQueued drops the messages that became outdated while there was no stream.
func discardQueued(q chan *wire.Message) {
	for {
		select {
		case <-q:
		default:
			return
		}
	}
}

// takeQueued returns the first message and those queued behind it.
func takeQueued(first *wire.Message, q chan *wire.Message) []*wire.Message {
	ms := []*wire.Message{first}
	for len(ms) < sendQueueLength {
		select {
		case m := <-q:
			ms = append(ms, m)
		default:
			return ms
		}
	}
	return ms
}
