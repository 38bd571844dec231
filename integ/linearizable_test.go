package integ

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"buckthornpin/wire"
)

// versioned is the state of the configuration: its version and content.
type versioned struct {
	version int64
	content string
}

// operation is what an operator asks for: a read, or a change of the version
// base.
type operation struct {
	read    bool
	base    int64
	content string
}

// outcome is what came back; an unknown one may or may not have taken effect.
type outcome struct {
	known, accepted bool
	state           versioned
}

// configurationModel is a register with compare-and-set.
var configurationModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{versioned{}} },
	Step: func(state, input, output any) []any {
		return stepConfiguration(state.(versioned), input.(operation), output.(outcome))
	},
	Equal: func(a, b any) bool { return a == b },
}

func stepConfiguration(s versioned, in operation, out outcome) []any {
	next := versioned{version: in.base + 1, content: in.content}
	switch {
	case !out.known && (in.read || s.version != in.base):
		return []any{s}
	case !out.known:
		return []any{s, next}
	case in.read && s == out.state:
		return []any{s}
	case !in.read && out.accepted && s.version == in.base && out.state.version == next.version:
		return []any{next}
	case !in.read && !out.accepted && s.version != in.base && s == out.state:
		return []any{s}
	}
	return nil
}

// history gathers the operations of all operators.
type history struct {
	s     *site
	began time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// do makes one operation and notes it.
func (h *history) do(operator int, in operation) outcome {
	call := time.Since(h.began)
	out := h.s.operate(operator, in)
	end := time.Since(h.began)
	if !out.known {
		end = time.Hour // It may take effect at any later time.
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: operator, Input: in, Output: out, Call: int64(call), Return: int64(end)})
	return out
}

func (s *site) operate(operator int, in operation) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	client := s.operator(s.controls[operator%len(s.controls)].name)
	if in.read {
		reply, err := client.System(ctx, false)
		if err != nil {
			return outcome{}
		}
		out := outcome{known: true}
		for _, c := range reply.GetConfigurations() {
			out.state = versioned{version: c.GetVersion(), content: c.GetContent()}
		}
		return out
	}
	r, err := client.Change(ctx, putConfiguration(in.content, in.base, in.content))
	if err != nil {
		return outcome{}
	}
	return outcome{known: true, accepted: r.GetKind() == wire.ResultKind_RESULT_KIND_OK, state: versioned{version: r.GetVersion(), content: r.GetContent()}}
}

// TestConfigurationIsLinearizable: operators read and change the configuration
// through all replicas while the leader is killed, frozen and cut off. A checker
// verifies that the history has an order in which each saw the one before it.
func TestConfigurationIsLinearizable(t *testing.T) {
	s := start(t, plan{controls: 3, routers: 1})
	h := &history{s: s, began: time.Now()}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for operator := range 4 {
		all.Go(func() { h.operator(operator, stop) })
	}
	for _, fault := range []func(v *vm) func(){s.killed, s.frozen, s.cut} {
		h.waitForMore(20)
		mend := fault(s.leader())
		h.waitForMore(20)
		mend()
	}
	h.waitForMore(20)
	close(stop)
	all.Wait()
	model := configurationModel.ToModel()
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, h.ops, 30*time.Second))
	t.Logf("%d operations", len(h.ops))
}

// operator reads and changes in turn, from what it saw last.
func (h *history) operator(n int, stop chan struct{}) {
	var seen versioned
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		in := operation{read: i%2 == 0, base: seen.version, content: fmt.Sprintf(`{"max_tokens": %d, "default_max_tokens": 1}`, 1000*(n+1)+i)}
		if out := h.do(n, in); out.known && out.state.version >= seen.version {
			seen = out.state
		}
	}
}

func (h *history) waitForMore(n int) {
	count := func() int {
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.ops)
	}
	now := count()
	h.s.eventually("more operations end", func() bool { return count() >= now+n })
}

func (s *site) killed(v *vm) func() {
	s.kill(v)
	return func() { s.restart(v) }
}

func (s *site) frozen(v *vm) func() {
	s.freeze(v)
	return func() { s.thaw(v) }
}

func (s *site) cut(v *vm) func() {
	s.cutOff(v, false)
	return s.healAll
}
