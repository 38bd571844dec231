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
	// callTimeout bounds one attempt to call one replica.
	callTimeout = 1500 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause between two attempts.
	minRetryPause = 5 * time.Millisecond
	maxRetryPause = 250 * time.Millisecond
)

// Client calls the leader of a control group. A call is retried until its context ends;
// commands carry ids, so that a command sent twice is applied once. The exported fields
// are set before first use.
type Client struct {
	Addresses []string
	// LearnedAddresses, if set, returns further addresses that were learned at run
	// time. They come before Addresses in the rotation.
	LearnedAddresses func() []string
	HTTP             *http.Client
	Scheme           string
	Options          []connect.ClientOption

	mu             sync.Mutex
	clients        conn.Clients[wire.ControlClient]
	leader         string
	addressCounter int
}

// leaderReply is a reply that may name another replica as the leader.
type leaderReply interface {
	GetNotLeader() bool
	GetLeaderAddress() string
}

// Execute commits commands and returns a result for each.
func (c *Client) Execute(ctx context.Context, commands []*wire.Command) ([]*wire.Result, error) {
	reply, err := callLeader(ctx, c, "execute", callTimeout, func(ctx context.Context, cc wire.ControlClient) (*wire.ExecuteReply, error) {
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

// Sync returns what changed since the request's revision. The replica may wait for the
// next change for the time that the request allows.
func (c *Client) Sync(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	timeout := callTimeout + time.Duration(r.GetWaitMs())*time.Millisecond
	return callLeader(ctx, c, "sync", timeout, func(ctx context.Context, cc wire.ControlClient) (*wire.SyncReply, error) {
		return cc.Sync(ctx, r)
	})
}

// Inspect returns a linearizable copy of the state that is shown to operators. Without
// history, it holds only the newest configuration.
func (c *Client) Inspect(ctx context.Context, history bool) (*wire.InspectReply, error) {
	return callLeader(ctx, c, "inspect", callTimeout, func(ctx context.Context, cc wire.ControlClient) (*wire.InspectReply, error) {
		return cc.Inspect(ctx, &wire.InspectRequest{History: history})
	})
}

// ChangeMembers adds or removes a replica.
func (c *Client) ChangeMembers(ctx context.Context, r *wire.ChangeMembersRequest) (*wire.ChangeMembersReply, error) {
	return callLeader(ctx, c, "change members", callTimeout, func(ctx context.Context, cc wire.ControlClient) (*wire.ChangeMembersReply, error) {
		return cc.ChangeMembers(ctx, r)
	})
}

// Join asks the group to add a replica.
func (c *Client) Join(ctx context.Context, m *wire.Member) error {
	reply, err := callLeader(ctx, c, "join", callTimeout, func(ctx context.Context, cc wire.ControlClient) (*wire.JoinReply, error) {
		return cc.Join(ctx, &wire.JoinRequest{Member: m})
	})
	if err != nil {
		return err
	}
	return problem("join", reply.GetProblem())
}

// Leave tells the group that a replica is about to stop.
func (c *Client) Leave(ctx context.Context, replica string) error {
	reply, err := callLeader(ctx, c, "leave", callTimeout, func(ctx context.Context, cc wire.ControlClient) (*wire.LeaveReply, error) {
		return cc.Leave(ctx, &wire.LeaveRequest{Replica: replica})
	})
	if err != nil {
		return err
	}
	return problem("leave", reply.GetProblem())
}

func problem(op, text string) error {
	if text == "" {
		return nil
	}
	return &Error{Op: op, Kind: KindUnavailable, Err: errors.New(text)}
}

// ReadSite returns the site's configuration in force, by a linearizable read.
func (c *Client) ReadSite(ctx context.Context) (*wire.SiteState, error) {
	reply, err := c.Sync(ctx, &wire.SyncRequest{Revision: math.MaxInt64})
	return reply.GetSite(), err
}

// callLeader finds the leader and calls it. It tries again until an attempt succeeds or
// ctx ends; timeout bounds each attempt.
func callLeader[R leaderReply](ctx context.Context, c *Client, op string, timeout time.Duration, call func(context.Context, wire.ControlClient) (R, error)) (R, error) {
	pause := &backoff.ExponentialBackOff{InitialInterval: minRetryPause, MaxInterval: maxRetryPause, Multiplier: 2, RandomizationFactor: 0.5}
	pause.Reset()
	reply, err := backoff.Retry(ctx, func() (R, error) {
		address := c.pickAddress()
		attemptCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply, err := call(attemptCtx, c.client(address))
		if err != nil {
			c.forgetLeader(address)
			return reply, err
		}
		if reply.GetNotLeader() {
			c.learnLeader(address, reply.GetLeaderAddress())
			return reply, errors.Errorf("replica %s doesn't lead", address)
		}
		c.learnLeader(address, address)
		return reply, nil
	}, backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return reply, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	return reply, nil
}

// pickAddress returns the leader's address if it is known, otherwise the next address
// in turn.
func (c *Client) pickAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	c.addressCounter++
	addresses := c.Addresses
	if c.LearnedAddresses != nil {
		addresses = append(c.LearnedAddresses(), addresses...)
	}
	return addresses[c.addressCounter%len(addresses)]
}

// learnLeader remembers the leader's address from a reply. If the replica that was
// asked names no leader, the next attempt asks another one.
func (c *Client) learnLeader(asked, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader == "" && c.leader != asked {
		return
	}
	c.leader = leader
}

// forgetLeader makes the next attempt use another address if this one was the leader's.
func (c *Client) forgetLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
	}
}

func (c *Client) client(address string) wire.ControlClient {
	return c.clients.Get(address, func() wire.ControlClient {
		return wire.NewControlClient(c.HTTP, c.Scheme+"://"+address, c.Options...)
	})
}
