package peer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"buckthornpin/wire"
)

// Node describes a process of the system. For another process it holds the newest state
// that was reported to this one.
type Node struct {
	VM          string
	Zone        string
	Address     string
	Control     bool
	Incarnation int64
	// Heartbeat is the number of rounds that the process has started.
	Heartbeat int64
	Stopping  bool
	// YieldsLimits is true if a router yields the limits of endpoints to the others.
	YieldsLimits bool
	// HeardAt is the time at which this process last saw Heartbeat rise.
	HeardAt time.Time
	// compared reports whether this process and the other one have compared what they know
	// of endpoints since the last message to it that failed.
	compared bool
}

// Nodes holds the other processes that a process has learned of, by address. A process
// that starts at a known address replaces the earlier one. Nodes is safe for concurrent
// use. Its exported fields are set before first use.
type Nodes struct {
	// Self describes this process.
	Self Node
	// AliveFor is how long a process is considered living after its heartbeat has
	// risen.
	AliveFor time.Duration
	// ForgetAfter is how long a process is remembered after its heartbeat has risen.
	ForgetAfter time.Duration
	// OnJoin is called with each process that is new or was started again, if set.
	OnJoin func(n Node)

	mu        sync.Mutex
	heartbeat int64
	known     map[string]*Node
	routers   atomic.Int64
}

// Merge merges node states reported by another process.
func (n *Nodes) Merge(states []*wire.NodeState, now time.Time) {
	for _, s := range states {
		if joined, ok := n.mergeOne(s, now); ok && n.OnJoin != nil {
			n.OnJoin(joined)
		}
	}
}

func (n *Nodes) mergeOne(s *wire.NodeState, now time.Time) (Node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s.GetAddress() == n.Self.Address {
		n.outrank(s.GetIncarnation())
		return Node{}, false
	}
	if s.GetAddress() == "" {
		return Node{}, false
	}
	old := n.known[s.GetAddress()]
	if old != nil && (s.GetIncarnation() < old.Incarnation || s.GetIncarnation() == old.Incarnation && s.GetBeat() <= old.Heartbeat) {
		return Node{}, false
	}
	fresh := old == nil || s.GetIncarnation() > old.Incarnation
	next := &Node{
		VM: s.GetVm(), Zone: s.GetZone(), Address: s.GetAddress(), Control: s.GetControl(),
		Incarnation: s.GetIncarnation(), Heartbeat: s.GetBeat(), Stopping: s.GetStopping(), YieldsLimits: s.GetYieldsLimits(),
		HeardAt: now, compared: !fresh && old.compared,
	}
	if n.known == nil {
		n.known = map[string]*Node{}
	}
	n.known[next.Address] = next
	return *next, fresh
}

// outrank raises the incarnation of this process above one that others know under its
// address. Incarnations are taken from the clock. If the clock was set back between two
// starts, the later process would have the lower incarnation, and the others would
// ignore it. The caller holds mu.
func (n *Nodes) outrank(incarnation int64) {
	if incarnation > n.Self.Incarnation {
		n.Self.Incarnation = incarnation + 1
	}
}

// StartRound increments the heartbeat of this process, forgets processes after
// ForgetAfter without a heartbeat and counts the living routers.
func (n *Nodes) StartRound(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heartbeat++
	routers := int64(0)
	for address, k := range n.known {
		if now.Sub(k.HeardAt) > n.ForgetAfter {
			delete(n.known, address)
		}
		if !k.Control && n.isLiving(k, now) {
			routers++
		}
	}
	n.routers.Store(routers)
}

// SetStopping marks this process as stopping in the states that it sends to others.
func (n *Nodes) SetStopping() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Self.Stopping = true
}

// SetYieldsLimits tells the other routers with the next round whether this one yields the
// limits of endpoints to them.
func (n *Nodes) SetYieldsLimits(yields bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Self.YieldsLimits = yields
}

// States returns the states of this process and of all known ones, for messages to
// other processes.
func (n *Nodes) States() []*wire.NodeState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sample(len(n.known))
}

// Sample returns the states of this process and of a few others, drawn at random.
func (n *Nodes) Sample(others int) []*wire.NodeState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sample(others)
}

// sample returns the states of this process and of up to the given number of others.
// These are drawn at random, because the iteration order of a map is random. The caller
// holds mu.
func (n *Nodes) sample(others int) []*wire.NodeState {
	self := n.Self
	self.Heartbeat = n.heartbeat
	out := []*wire.NodeState{nodeState(&self)}
	for _, k := range n.known {
		if len(out) > others {
			break
		}
		out = append(out, nodeState(k))
	}
	return out
}

func nodeState(k *Node) *wire.NodeState {
	return &wire.NodeState{
		Vm: k.VM, Zone: k.Zone, Address: k.Address, Control: k.Control,
		Incarnation: k.Incarnation, Beat: k.Heartbeat, Stopping: k.Stopping, YieldsLimits: k.YieldsLimits,
	}
}

// setCompared records whether this process and another one have compared what they know of
// endpoints.
func (n *Nodes) setCompared(address string, compared bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if k := n.known[address]; k != nil {
		k.compared = compared
	}
}

// isCompared reports what setCompared has recorded, and false for a process that has started
// since.
func (n *Nodes) isCompared(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.known[address]
	return k != nil && k.compared
}

// isRouter reports whether a router is known at an address.
func (n *Nodes) isRouter(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.known[address]
	return k != nil && !k.Control
}

// Routers returns the living routers besides this process, ordered by address.
func (n *Nodes) Routers(now time.Time) []Node {
	return n.living(now, func(k *Node) bool { return !k.Control })
}

// SilentRouters returns the known routers that are not considered living, ordered by
// address.
func (n *Nodes) SilentRouters(now time.Time) []Node {
	return n.filter(func(k *Node) bool { return !k.Control && !n.isLiving(k, now) })
}

// LivingRouterCount returns the number of living routers besides this process as of the
// last round. It is called for each request.
func (n *Nodes) LivingRouterCount() int { return int(n.routers.Load()) }

// ControlNodes returns the known control processes, ordered by address. Silent ones are
// included, since control is tried at every known address.
func (n *Nodes) ControlNodes() []Node {
	return n.filter(func(k *Node) bool { return k.Control })
}

// Living returns all living processes besides this one, ordered by address.
func (n *Nodes) Living(now time.Time) []Node {
	return n.living(now, func(*Node) bool { return true })
}

func (n *Nodes) living(now time.Time, ok func(k *Node) bool) []Node {
	return n.filter(func(k *Node) bool { return ok(k) && n.isLiving(k, now) })
}

func (n *Nodes) isLiving(k *Node, now time.Time) bool { return now.Sub(k.HeardAt) <= n.AliveFor }

func (n *Nodes) filter(ok func(k *Node) bool) []Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Node
	for _, k := range n.known {
		if ok(k) {
			out = append(out, *k)
		}
	}
	slices.SortFunc(out, func(a, b Node) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return out
}
