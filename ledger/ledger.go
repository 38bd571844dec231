// Package ledger is the replicated state machine: organisations, budgets,
// reservations, leases and configuration. It has no clock, socket or random
// source of its own; time comes with each command.
package ledger

import (
	"time"

	"buckthornpin"
	"buckthornpin/wire"
)

const (
	// KeyRetention is how long the outcome of a caller's key is remembered.
	KeyRetention = 15 * time.Minute
	// FreshRetention is how long the outcome of a router's own key is remembered.
	FreshRetention = time.Minute
	// ReplyRetention is how long the reply to an operator's change is remembered.
	ReplyRetention = 24 * time.Hour
	// OrphanGrace is how long a dead router's reservation waits for a retry.
	OrphanGrace = 2 * time.Minute
	// DefaultHold ends a reservation whose command names no hold time.
	DefaultHold = 15 * time.Minute
	// MaxTopUp bounds one top-up, in tokens.
	MaxTopUp = int64(1) << 50
	// maxNameBytes bounds names of organisations and keys.
	maxNameBytes = 200
)

// Ledger is the state after a prefix of the log. It isn't safe for concurrent
// use: its owner applies commands one by one.
type Ledger struct {
	revision       int64
	nowMS          int64
	organisations  map[string]*organisation
	keys           map[string]*wire.KeyState
	reservations   map[buckthornpin.RequestKey]*reservation
	byRouter       map[string]map[buckthornpin.RequestKey]bool
	routers        map[string]*wire.RouterState
	leases         map[leaseKey]*wire.LeaseState
	configurations []*wire.ConfigurationState
	replies        map[string]*wire.ReplyState
	replyOrder     []*wire.ReplyState
	ends           endQueue
	openCount      int64
	site           *wire.SiteState
	allowances     map[string]*allowance
}

// Empty returns the ledger before the first command.
func Empty() *Ledger {
	return &Ledger{
		organisations: map[string]*organisation{},
		keys:          map[string]*wire.KeyState{},
		reservations:  map[buckthornpin.RequestKey]*reservation{},
		byRouter:      map[string]map[buckthornpin.RequestKey]bool{},
		routers:       map[string]*wire.RouterState{},
		leases:        map[leaseKey]*wire.LeaseState{},
		replies:       map[string]*wire.ReplyState{},
		allowances:    map[string]*allowance{},
	}
}

// Apply carries out one command and returns its result. A command whose id was
// applied before changes nothing and gets the first result again.
func (l *Ledger) Apply(c *wire.Command) *wire.Result {
	l.advance(c.GetAtMs())
	if reply, ok := l.replies[c.GetId()]; ok {
		return reply.GetResult()
	}
	switch op := c.GetOp().(type) {
	case *wire.Command_Reserve:
		return l.reserve(c.GetId(), op.Reserve)
	case *wire.Command_Settle:
		return l.settle(op.Settle)
	case *wire.Command_Cancel:
		return l.cancel(op.Cancel)
	case *wire.Command_SettleLease:
		return l.settleLease(op.SettleLease)
	case *wire.Command_GrantLease:
		return l.grantLease(op.GrantLease)
	case *wire.Command_CloseLease:
		return l.closeLease(op.CloseLease)
	case *wire.Command_PutSite:
		return l.putSite(op.PutSite)
	case *wire.Command_ReportShares:
		return l.reportShares(op.ReportShares)
	}
	r := l.applyChange(c)
	l.remember(c.GetId(), r)
	return r
}

func (l *Ledger) applyChange(c *wire.Command) *wire.Result {
	switch op := c.GetOp().(type) {
	case *wire.Command_PutOrganisation:
		return l.putOrganisation(op.PutOrganisation)
	case *wire.Command_TopUp:
		return l.topUp(op.TopUp)
	case *wire.Command_PutKey:
		return l.putKey(op.PutKey)
	case *wire.Command_RegisterRouter:
		return l.registerRouter(op.RegisterRouter)
	case *wire.Command_PutConfiguration:
		return l.putConfiguration(c, op.PutConfiguration)
	}
	return failed(wire.ResultKind_RESULT_KIND_INVALID, "command has no operation")
}

// Revision rises with each change that routers have to hear of.
func (l *Ledger) Revision() int64 { return l.revision }

// OpenReservations counts the reservations that are held.
func (l *Ledger) OpenReservations() int64 { return l.openCount }

// NowMS returns the newest time that a command has brought.
func (l *Ledger) NowMS() int64 { return l.nowMS }

func (l *Ledger) nextRevision() int64 {
	l.revision++
	return l.revision
}

// advance moves the ledger's time on; it never goes back.
func (l *Ledger) advance(atMS int64) {
	if atMS <= l.nowMS {
		return
	}
	l.nowMS = atMS
	l.endReservations()
	l.forgetReplies()
}

// remember keeps a decided result; results that a later try may change are not
// kept.
func (l *Ledger) remember(id string, r *wire.Result) {
	if id == "" || r.GetKind() != wire.ResultKind_RESULT_KIND_OK {
		return
	}
	reply := &wire.ReplyState{Id: id, AtMs: l.nowMS, Result: r}
	l.replies[id] = reply
	l.replyOrder = append(l.replyOrder, reply)
}

func (l *Ledger) forgetReplies() {
	limit := l.nowMS - ReplyRetention.Milliseconds()
	n := 0
	for n < len(l.replyOrder) && l.replyOrder[n].GetAtMs() < limit {
		delete(l.replies, l.replyOrder[n].GetId())
		n++
	}
	l.replyOrder = l.replyOrder[n:]
}

func succeeded() *wire.Result {
	return &wire.Result{Kind: wire.ResultKind_RESULT_KIND_OK}
}

func failed(k wire.ResultKind, message string) *wire.Result {
	return &wire.Result{Kind: k, Message: message}
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, c := range name {
		if c < 0x21 || c == 0x7f || c == '/' {
			return false
		}
	}
	return true
}
