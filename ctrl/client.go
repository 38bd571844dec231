package ctrl

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"buckthornpin/conn"
	"buckthornpin/wire"
)

const (
	// callTimeout bounds one try of a call to one replica.
	callTimeout = 1500 * time.Millisecond
	// firstRetry and longestRetry bound the pause between two tries.
	firstRetry   = 5 * time.Millisecond
	longestRetry = 250 * time.Millisecond
)

// Client calls the leader of a control group. It tries until its context ends;
// commands carry ids, so that a command sent twice is applied once. Its
// exported fields are set before first use.
type Client struct {
	Addresses []string
	// Known returns addresses that were learned later, if set.
	Known   func() []string
	HTTP    *http.Client
	Scheme  string
	Options []connect.ClientOption

	mu      sync.Mutex
	clients conn.Clients[wire.ControlClient]
	leader  string
	turn    int
}

// leaderReply is a reply that may name another replica as leader.
type leaderReply interface {
	GetNotLeader() bool
	GetLeaderAddress() string
}

// Execute commits commands and returns a result for each.
func (c *Client) Execute(ctx context.Context, commands []*wire.Command) ([]*wire.Result, error) {
	reply, err := ask(ctx, c, "execute", callTimeout, func(ctx context.Context, cc wire.ControlClient) (*wire.ExecuteReply, error) {
		return cc.Execute(ctx, &wire.ExecuteRequest{Commands: commands})
	})
	if err != nil {
		return nil, err
	}
	if len(reply.GetResults()) != len(commands) {
		return nil, &Error{Op: "execute", Kind: KindLost}
	}
	return reply.GetResults(), nil
}

// Sync returns what changed since the request's revision.
func (c *Client) Sync(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	timeout := callTimeout + time.Duration(r.GetWaitMs())*time.Millisecond
	return ask(ctx, c, "sync", timeout, func(ctx context.Context, cc wire.ControlClient) (*wire.SyncReply, error) {
		return cc.Sync(ctx, r)
	})
}

// Inspect returns a linearizable copy of the state that operators look at.
func (c *Client) Inspect(ctx context.Context, history bool) (*wire.InspectReply, error) {
	return ask(ctx, c, "inspect", callTimeout, func(ctx context.Context, cc wire.ControlClient) (*wire.InspectReply, error) {
		return cc.Inspect(ctx, &wire.InspectRequest{History: history})
	})
}

// ChangeMembers adds or removes a replica.
func (c *Client) ChangeMembers(ctx context.Context, r *wire.ChangeMembersRequest) (*wire.ChangeMembersReply, error) {
	return ask(ctx, c, "change members", callTimeout, func(ctx context.Context, cc wire.ControlClient) (*wire.ChangeMembersReply, error) {
		return cc.ChangeMembers(ctx, r)
	})
}

// Join asks the group to take a replica in.
func (c *Client) Join(ctx context.Context, m *wire.Member) error {
	reply, err := ask(ctx, c, "join", callTimeout, func(ctx context.Context, cc wire.ControlClient) (*wire.JoinReply, error) {
		return cc.Join(ctx, &wire.JoinRequest{Member: m})
	})
	if err != nil {
		return err
	}
	if reply.GetProblem() != "" {
		return &Error{Op: "join", Kind: KindUnavailable, Err: errors.New(reply.GetProblem())}
	}
	return nil
}

// ReadSite returns the site's configuration in force; the read is linearizable.
func (c *Client) ReadSite(ctx context.Context) (*wire.SiteState, error) {
	reply, err := c.Sync(ctx, &wire.SyncRequest{Revision: math.MaxInt64})
	return reply.GetSite(), err
}

// ask calls the leader, wherever it is, until ctx ends.
func ask[R leaderReply](ctx context.Context, c *Client, op string, timeout time.Duration, call func(context.Context, wire.ControlClient) (R, error)) (R, error) {
	pause := &backoff.ExponentialBackOff{InitialInterval: firstRetry, MaxInterval: longestRetry, Multiplier: 2, RandomizationFactor: 0.5}
	pause.Reset()
	reply, err := backoff.Retry(ctx, func() (R, error) {
		address := c.pick()
		tryCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply, err := call(tryCtx, c.client(address))
		if err != nil {
			c.forget(address)
			return reply, err
		}
		if reply.GetNotLeader() {
			c.learn(address, reply.GetLeaderAddress())
			return reply, errors.Errorf("replica %s doesn't lead", address)
		}
		c.learn(address, address)
		return reply, nil
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return reply, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	return reply, nil
}

func (c *Client) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	c.turn++
	all := c.Addresses
	if c.Known != nil {
		all = append(c.Known(), all...)
	}
	return all[c.turn%len(all)]
}

// learn takes the leader's address from a reply. The replica that was asked may
// know none; the next try asks another one then.
func (c *Client) learn(asked, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader == "" && c.leader != asked {
		return
	}
	c.leader = leader
}

func (c *Client) forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
	}
}

func (c *Client) client(address string) wire.ControlClient {
	return c.clients.Of(address, func() wire.ControlClient {
		return wire.NewControlClient(c.HTTP, c.Scheme+"://"+address, c.Options...)
	})
}
