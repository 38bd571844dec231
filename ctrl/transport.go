package ctrl

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"buckthornpin/wire"
)

const (
	// sendQueue bounds the messages that wait for one replica.
	sendQueue = 512
	// reconnectPause is the pause before a broken stream is opened again.
	reconnectPause = 50 * time.Millisecond
)

// Links is the transport between replicas: one stream to each, on which messages
// keep their order. Its exported fields are set before Open.
type Links struct {
	HTTP    *http.Client
	Scheme  string
	Options []connect.ClientOption

	ctx   context.Context
	mu    sync.Mutex
	peers map[string]chan *wire.Message
	done  sync.WaitGroup
}

// Open prepares the transport; the streams end with ctx.
func (l *Links) Open(ctx context.Context) {
	l.ctx = ctx
	l.peers = map[string]chan *wire.Message{}
}

// Run serves until ctx ends and the streams have ended.
func (l *Links) Run(ctx context.Context) error {
	<-ctx.Done()
	l.done.Wait()
	return nil
}

// Send queues a message; a full queue drops it.
func (l *Links) Send(to *wire.Member, m *wire.Message) {
	select {
	case l.queue(to.GetAddress()) <- m:
	default:
	}
}

func (l *Links) queue(address string) chan *wire.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, ok := l.peers[address]
	if !ok {
		q = make(chan *wire.Message, sendQueue)
		l.peers[address] = q
		c := wire.NewReplicasClient(l.HTTP, l.Scheme+"://"+address, l.Options...)
		l.done.Go(func() { l.deliverAll(c, q) })
	}
	return q
}

// deliverAll keeps a stream to one replica open. What a broken stream lost the
// protocol sends again where it matters.
func (l *Links) deliverAll(c wire.ReplicasClient, q chan *wire.Message) {
	for l.ctx.Err() == nil {
		l.stream(c, q)
		drain(q)
		pause(l.ctx, reconnectPause)
	}
}

func (l *Links) stream(c wire.ReplicasClient, q chan *wire.Message) {
	ctx, cancel := context.WithCancel(l.ctx)
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
			if s.Send(&wire.DeliverRequest{Messages: gather(m, q)}) != nil {
				return
			}
		}
	}
}

// drain drops what has become old while there was no stream.
func drain(q chan *wire.Message) {
	for {
		select {
		case <-q:
		default:
			return
		}
	}
}

func gather(first *wire.Message, q chan *wire.Message) []*wire.Message {
	ms := []*wire.Message{first}
	for len(ms) < sendQueue {
		select {
		case m := <-q:
			ms = append(ms, m)
		default:
			return ms
		}
	}
	return ms
}
