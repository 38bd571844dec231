package peer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"buckthornpin/wire"
)

// Node is a process of the system as this one knows it.
type Node struct {
	VM          string
	Zone        string
	Address     string
	Control     bool
	Incarnation int64
	Beat        int64
	Stopping    bool
	// HeardAt is when its beat last rose here.
	HeardAt time.Time
}

// Nodes is what a process knows of the others, by address. A process that is
// started again at an address replaces the earlier one. It is safe for
// concurrent use; its exported fields are set before first use.
type Nodes struct {
	// Self is this process.
	Self Node
	// AliveFor is how long a process counts as living after its beat has risen.
	AliveFor time.Duration
	// ForgetAfter is how long a silent process is remembered.
	ForgetAfter time.Duration
	// Joined is called with processes that are new or started again, if set.
	Joined func(n Node)

	mu      sync.Mutex
	beat    int64
	known   map[string]*Node
	routers atomic.Int64
}

// Merge takes what another process tells.
func (n *Nodes) Merge(states []*wire.NodeState, now time.Time) {
	for _, s := range states {
		if joined, ok := n.mergeOne(s, now); ok && n.Joined != nil {
			n.Joined(joined)
		}
	}
}

func (n *Nodes) mergeOne(s *wire.NodeState, now time.Time) (Node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s.GetAddress() == n.Self.Address {
		n.outlive(s.GetIncarnation())
		return Node{}, false
	}
	if s.GetAddress() == "" {
		return Node{}, false
	}
	old := n.known[s.GetAddress()]
	if old != nil && (s.GetIncarnation() < old.Incarnation || s.GetIncarnation() == old.Incarnation && s.GetBeat() <= old.Beat) {
		return Node{}, false
	}
	fresh := old == nil || s.GetIncarnation() > old.Incarnation
	next := &Node{
		VM: s.GetVm(), Zone: s.GetZone(), Address: s.GetAddress(), Control: s.GetControl(),
		Incarnation: s.GetIncarnation(), Beat: s.GetBeat(), Stopping: s.GetStopping(), HeardAt: now,
	}
	if n.known == nil {
		n.known = map[string]*Node{}
	}
	n.known[next.Address] = next
	return *next, fresh
}

// outlive takes an incarnation above one that others have heard of under this
// process's address. Incarnations come from the time of day: one that was set back
// between two starts makes the later process look like the earlier one, which nobody
// would listen to. The caller holds mu.
func (n *Nodes) outlive(incarnation int64) {
	if incarnation > n.Self.Incarnation {
		n.Self.Incarnation = incarnation + 1
	}
}

// Round raises this process's beat, forgets processes that have been silent for long
// and counts the living routers.
func (n *Nodes) Round(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.beat++
	routers := int64(0)
	for address, k := range n.known {
		if now.Sub(k.HeardAt) > n.ForgetAfter {
			delete(n.known, address)
		}
		if !k.Control && n.lives(k, now) {
			routers++
		}
	}
	n.routers.Store(routers)
}

// SetStopping tells the others that this process is about to end.
func (n *Nodes) SetStopping() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Self.Stopping = true
}

// States returns this process and the known ones, for telling others.
func (n *Nodes) States() []*wire.NodeState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sample(len(n.known))
}

// Some returns this process and a few others, drawn at random.
func (n *Nodes) Some(others int) []*wire.NodeState {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sample(others)
}

// sample returns this process and up to so many others; the order of a map is
// random. The caller holds mu.
func (n *Nodes) sample(others int) []*wire.NodeState {
	self := n.Self
	self.Beat = n.beat
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
		Incarnation: k.Incarnation, Beat: k.Beat, Stopping: k.Stopping,
	}
}

// Routers returns the living routers besides this process, ordered by address.
func (n *Nodes) Routers(now time.Time) []Node {
	return n.living(now, func(k *Node) bool { return !k.Control })
}

// SilentRouters returns the known routers that don't count as living.
func (n *Nodes) SilentRouters(now time.Time) []Node {
	return n.pick(func(k *Node) bool { return !k.Control && !n.lives(k, now) })
}

// LivingRouters returns the number of living routers besides this process at the last
// round. It is asked for each request.
func (n *Nodes) LivingRouters() int { return int(n.routers.Load()) }

// Controls returns the known control processes, ordered by address, also silent
// ones: control is asked wherever it may be.
func (n *Nodes) Controls() []Node {
	return n.pick(func(k *Node) bool { return k.Control })
}

// Living returns all living processes besides this one, ordered by address.
func (n *Nodes) Living(now time.Time) []Node {
	return n.living(now, func(*Node) bool { return true })
}

func (n *Nodes) living(now time.Time, ok func(k *Node) bool) []Node {
	return n.pick(func(k *Node) bool { return ok(k) && n.lives(k, now) })
}

func (n *Nodes) lives(k *Node, now time.Time) bool { return now.Sub(k.HeardAt) <= n.AliveFor }

func (n *Nodes) pick(ok func(k *Node) bool) []Node {
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
