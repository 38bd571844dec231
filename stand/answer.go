package stand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"buckthornpin/endpt"
)

// answer is one attempt's answer on its way.
type answer struct {
	endpoint *Endpoint
	w        http.ResponseWriter
	flush    http.Flusher
	prompt   Prompt
	faults   Faults
	id       string
	attempt  string
	from     int
	pace     time.Duration
}

func newAnswer(e *Endpoint, w http.ResponseWriter, r *http.Request, p Prompt, f Faults) *answer {
	from, _ := strconv.Atoi(r.Header.Get(endpt.OffsetHeader))
	a := &answer{endpoint: e, w: w, prompt: p, faults: f, id: r.Header.Get(endpt.RequestHeader), attempt: r.Header.Get(endpt.AttemptHeader), from: from, pace: e.Pace}
	a.flush, _ = w.(http.Flusher)
	if f.Pace > 0 {
		a.pace = f.Pace
	}
	if a.attempt == "" {
		a.attempt = "1"
	}
	return a
}

func (a *answer) run(ctx context.Context) {
	a.w.Header().Set("Content-Type", "text/event-stream")
	n := a.prompt.Tokens(a.faults)
	ticker := time.NewTicker(a.pace)
	defer ticker.Stop()
	for i := a.from; i < n; i++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !a.fault(ctx, i) {
			return
		}
		a.token(a.id, i)
	}
	a.last(n)
}

// fault brings about the faults at token i; it reports whether to go on.
func (a *answer) fault(ctx context.Context, i int) bool {
	f := a.faults
	if i == f.CrashAt {
		a.endpoint.Crash()
		panic(http.ErrAbortHandler)
	}
	if a.attempt != "1" {
		return true
	}
	switch i {
	case f.BreakAt:
		panic(http.ErrAbortHandler)
	case f.SilentAt:
		<-ctx.Done()
		return false
	case f.ShortAt:
		return false
	case f.AlienAt:
		a.token("another-request", i)
	case f.RepeatAt:
		a.token(a.id, i)
	}
	return true
}

func (a *answer) token(id string, i int) {
	word, _ := json.Marshal(a.prompt.Word(i))
	_, _ = fmt.Fprintf(a.w, "id: %s-%d-%d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%s},\"finish_reason\":null}]}\n\n",
		a.attempt, i, i+1, id, a.prompt.Model, word)
	if a.flush != nil {
		a.flush.Flush()
	}
}

func (a *answer) last(n int) {
	usage, _ := json.Marshal(a.prompt.Usage())
	_, _ = fmt.Fprintf(a.w, "id: %s-%d-%d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":%s}\n\ndata: [DONE]\n\n",
		a.attempt, n, n, a.id, a.prompt.Model, usage)
}
