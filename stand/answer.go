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

// answer is the answer to one attempt at a request, while it is being sent.
type answer struct {
	endpoint  *Endpoint
	w         http.ResponseWriter
	flusher   http.Flusher
	prompt    Prompt
	faults    Faults
	requestID string
	attempt   string
	// firstToken is the token at which the answer starts or resumes.
	firstToken    int
	tokenInterval time.Duration
}

func newAnswer(e *Endpoint, w http.ResponseWriter, r *http.Request, p Prompt, f Faults) *answer {
	firstToken, _ := strconv.Atoi(r.Header.Get(endpt.OffsetHeader))
	a := &answer{endpoint: e, w: w, prompt: p, faults: f, requestID: r.Header.Get(endpt.RequestHeader), attempt: r.Header.Get(endpt.AttemptHeader), firstToken: firstToken, tokenInterval: e.TokenInterval}
	a.flusher, _ = w.(http.Flusher)
	if f.TokenInterval > 0 {
		a.tokenInterval = f.TokenInterval
	}
	if a.attempt == "" {
		a.attempt = "1"
	}
	return a
}

// stream sends the tokens one by one, and the end mark.
func (a *answer) stream(ctx context.Context) {
	a.w.Header().Set("Content-Type", "text/event-stream")
	n := a.prompt.Tokens(a.faults)
	ticker := time.NewTicker(a.tokenInterval)
	defer ticker.Stop()
	for i := a.firstToken; i < n; i++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !a.injectFaults(ctx, i) {
			return
		}
		a.sendToken(a.requestID, i)
	}
	a.sendEnd(n)
}

// injectFaults carries out the faults that are set at token i. It reports whether the
// answer continues. It panics to break the connection.
func (a *answer) injectFaults(ctx context.Context, i int) bool {
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
	case f.TruncateAt:
		return false
	case f.ForeignFrameAt:
		a.sendToken("another-request", i)
	case f.RepeatAt:
		a.sendToken(a.requestID, i)
	}
	return true
}

// sendToken sends token i in a frame of the request with the given id.
func (a *answer) sendToken(id string, i int) {
	word, _ := json.Marshal(a.prompt.Word(i))
	_, _ = fmt.Fprintf(a.w, "id: %s-%d-%d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%s},\"finish_reason\":null}]}\n\n",
		a.attempt, i, i+1, id, a.prompt.Model, word)
	if a.flusher != nil {
		a.flusher.Flush()
	}
}

// sendEnd sends the usage and the end mark behind n tokens.
func (a *answer) sendEnd(n int) {
	usage, _ := json.Marshal(a.prompt.Usage())
	_, _ = fmt.Fprintf(a.w, "id: %s-%d-%d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":%s}\n\ndata: [DONE]\n\n",
		a.attempt, n, n, a.requestID, a.prompt.Model, usage)
}
