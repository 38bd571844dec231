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
	// deliverTimeout bounds one delivery; a silent connection is given up then.
	deliverTimeout = 2 * time.Second
	// sendQueue bounds the messages that wait for one replica.
	sendQueue = 512
	// sendersPerMember is how many deliveries to one replica may be under way.
	sendersPerMember = 2
)

// Links is the transport between replicas. Its exported fields are set before
// Run.
type Links struct {
	HTTP    *http.Client
	Scheme  string
	Options []connect.ClientOption

	ctx   context.Context
	mu    sync.Mutex
	peers map[string]chan *wire.Message
	done  sync.WaitGroup
}

// Run serves until ctx ends and the deliveries under way have ended.
func (l *Links) Run(ctx context.Context) error {
	<-ctx.Done()
	l.done.Wait()
	return nil
}

// Open prepares the transport; senders end with ctx.
func (l *Links) Open(ctx context.Context) {
	l.ctx = ctx
	l.peers = map[string]chan *wire.Message{}
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
		for range sendersPerMember {
			l.done.Go(func() { l.deliverAll(c, q) })
		}
	}
	return q
}

func (l *Links) deliverAll(c wire.ReplicasClient, q chan *wire.Message) {
	for {
		select {
		case <-l.ctx.Done():
			return
		case m := <-q:
			l.deliver(c, gather(m, q))
		}
	}
}

// deliver loses the messages where the replica can't be reached; the protocol
// sends again what matters.
func (l *Links) deliver(c wire.ReplicasClient, ms []*wire.Message) {
	ctx, cancel := context.WithTimeout(l.ctx, deliverTimeout)
	defer cancel()
	_, _ = c.Deliver(ctx, &wire.DeliverRequest{Messages: ms})
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
