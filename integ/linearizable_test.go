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

// configurationState is the state of the modelled configuration register.
type configurationState struct {
	version int64
	content string
}

// operation is a read, or a change that replaces version base by content.
type operation struct {
	read    bool
	base    int64
	content string
}

// operationResult is the reply to an operation. Where known is false there was no reply,
// and the operation may or may not have taken effect.
type operationResult struct {
	known, accepted bool
	state           configurationState
}

// configurationModel models the configuration as a compare-and-set register.
var configurationModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{configurationState{}} },
	Step: func(state, input, output any) []any {
		return stepConfiguration(state.(configurationState), input.(operation), output.(operationResult))
	},
	Equal: func(a, b any) bool { return a == b },
}

func stepConfiguration(s configurationState, in operation, out operationResult) []any {
	next := configurationState{version: in.base + 1, content: in.content}
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

// history records the operations of all operators.
type history struct {
	s     *site
	began time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// do performs one operation and records it.
func (h *history) do(operator int, in operation) operationResult {
	call := time.Since(h.began)
	out := h.s.perform(operator, in)
	end := time.Since(h.began)
	if !out.known {
		end = time.Hour // It may take effect at any later time.
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: operator, Input: in, Output: out, Call: int64(call), Return: int64(end)})
	return out
}

func (s *site) perform(operator int, in operation) operationResult {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	client := s.operator(s.controls[operator%len(s.controls)].name)
	if in.read {
		reply, err := client.System(ctx, false)
		if err != nil {
			return operationResult{}
		}
		out := operationResult{known: true}
		for _, c := range reply.GetConfigurations() {
			out.state = configurationState{version: c.GetVersion(), content: c.GetContent()}
		}
		return out
	}
	r, err := client.Change(ctx, putConfigurationCommand(in.content, in.base, in.content))
	if err != nil {
		return operationResult{}
	}
	return operationResult{known: true, accepted: r.GetKind() == wire.ResultKind_RESULT_KIND_OK, state: configurationState{version: r.GetVersion(), content: r.GetContent()}}
}

// TestConfigurationIsLinearizable guards against stale reads and lost changes of the
// configuration. Operators read and change it through all replicas while the leader is
// killed, frozen and cut off. A checker then verifies that the recorded history is
// linearizable.
func TestConfigurationIsLinearizable(t *testing.T) {
	s := startSite(t, plan{controls: 3, routers: 1})
	h := &history{s: s, began: time.Now()}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for operator := range 4 {
		all.Go(func() { h.runOperator(operator, stop) })
	}
	for _, fault := range []func(v *vm) func(){s.injectKill, s.injectFreeze, s.injectCut} {
		h.waitForMore(20)
		undoFault := fault(s.leader())
		h.waitForMore(20)
		undoFault()
	}
	h.waitForMore(20)
	close(stop)
	all.Wait()
	model := configurationModel.ToModel()
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, h.ops, 30*time.Second))
	t.Logf("%d operations", len(h.ops))
}

// runOperator alternates reads and changes. Each change builds on the version that it saw
// last.
func (h *history) runOperator(n int, stop chan struct{}) {
	var lastSeen configurationState
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		in := operation{read: i%2 == 0, base: lastSeen.version, content: fmt.Sprintf(`{"max_tokens": %d, "default_max_tokens": 1}`, 1000*(n+1)+i)}
		if out := h.do(n, in); out.known && out.state.version >= lastSeen.version {
			lastSeen = out.state
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
	h.s.eventually("more operations have ended", func() bool { return count() >= now+n })
}

func (s *site) injectKill(v *vm) func() {
	s.kill(v)
	return func() { s.restart(v) }
}

func (s *site) injectFreeze(v *vm) func() {
	s.freeze(v)
	return func() { s.thaw(v) }
}

func (s *site) injectCut(v *vm) func() {
	s.cutOff(v, false)
	return s.healAll
}
