package app

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"buckthornpin"
	"buckthornpin/conn"
	"buckthornpin/endpt"
	"buckthornpin/stand"
)

const (
	defaultLoadDuration = 10 * time.Second
	// maxLatencyMicroseconds is the largest latency that the histograms record.
	maxLatencyMicroseconds = int64(time.Hour / time.Microsecond)
	// histogramDigits is the precision of the histograms in significant decimal
	// digits.
	histogramDigits = 3
	// lastAnswerTimeout bounds the wait for answers after the last request.
	lastAnswerTimeout = time.Minute
)

// Load sends requests at random times with a given mean rate, whether or not
// earlier ones have ended. Its exported fields are set before Run.
type Load struct {
	URLs  []string
	Key   string
	Model string
	// Rate is the mean number of requests per second.
	Rate float64
	// Duration is the time within which requests start.
	Duration time.Duration
	Seed     int64
	// Tokens is the number of output tokens of each answer.
	Tokens int
	// Pace is the time between tokens of a stand-in's answer; 0 keeps the stand-in's
	// default.
	Pace time.Duration
	// Direct sends the requests to an endpoint instead of a router.
	Direct bool

	http          *http.Client
	mu            sync.Mutex
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	report        LoadReport
}

// LoadReport is the result of a load run. Each request that was sent is counted
// as Whole (the complete, correct answer), Wrong (a complete answer with another
// text), Refused (a status other than 200) or Broken (no complete answer). Codes
// counts refusals by error code and outcome. Latencies are in milliseconds.
type LoadReport struct {
	Rate          float64        `json:"rate"`
	Seed          int64          `json:"seed"`
	Sent          int            `json:"sent"`
	Whole         int            `json:"whole"`
	Wrong         int            `json:"wrong"`
	Refused       int            `json:"refused"`
	Broken        int            `json:"broken"`
	Codes         map[string]int `json:"codes,omitempty"`
	Tokens        int64          `json:"tokens"`
	Seconds       float64        `json:"seconds"`
	FirstToken    Latency        `json:"first_token_ms"`
	BetweenTokens Latency        `json:"between_tokens_ms"`
	Problems      []string       `json:"problems,omitempty"`
}

// Latency summarises a distribution of latencies in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Run sends the requests and returns when the last answer has ended.
func (l *Load) Run(ctx context.Context) LoadReport {
	l.http = (&conn.Dialer{MaxIdlePerHost: 4096}).ExternalClient()
	l.firstToken = hdrhistogram.New(1, maxLatencyMicroseconds, histogramDigits)
	l.betweenTokens = hdrhistogram.New(1, maxLatencyMicroseconds, histogramDigits)
	l.report = LoadReport{Rate: l.Rate, Seed: l.Seed, Codes: map[string]int{}}
	ctx, cancel := context.WithTimeout(ctx, l.Duration+lastAnswerTimeout)
	defer cancel()
	started := time.Now()
	l.sendAll(ctx, started)
	l.report.Seconds = time.Since(started).Seconds()
	l.report.FirstToken = latencyOf(l.firstToken)
	l.report.BetweenTokens = latencyOf(l.betweenTokens)
	return l.report
}

func (l *Load) sendAll(ctx context.Context, started time.Time) {
	rng := rand.New(rand.NewSource(l.Seed))
	var requests sync.WaitGroup
	offset := time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		offset += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
		if offset > l.Duration {
			break
		}
		buckthornpin.Wait(ctx, time.Until(started.Add(offset)))
		l.report.Sent++
		url := l.URLs[n%len(l.URLs)]
		content := fmt.Sprintf("question %d of %d @tokens=%d", n, l.Seed, l.Tokens)
		if l.Pace > 0 {
			content += fmt.Sprintf(" @pace_ms=%d", l.Pace.Milliseconds())
		}
		requests.Go(func() { l.sendOne(ctx, url, content, n) })
	}
	requests.Wait()
}

func (l *Load) sendOne(ctx context.Context, url, content string, n int) {
	p := stand.Prompt{Model: l.Model, Messages: []stand.Message{{Role: "user", Content: content}}, MaxTokens: l.Tokens}
	r, err := l.newRequest(ctx, url, p, n)
	if err != nil {
		l.countFailure(err)
		return
	}
	started := time.Now()
	res, err := l.http.Do(r)
	if err != nil {
		l.countFailure(err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		l.countRefusal(res)
		return
	}
	text, err := l.readAnswer(res, started)
	if err != nil {
		l.countFailure(err)
		return
	}
	l.countAnswer(p, text)
}

func (l *Load) newRequest(ctx context.Context, url string, p stand.Prompt, n int) (*http.Request, error) {
	body, err := json.Marshal(chatRequest{Prompt: p, Stream: true})
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+endpt.ChatPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	if l.Direct {
		r.Header.Set(endpt.RequestHeader, fmt.Sprintf("direct-%d", n))
	} else {
		r.Header.Set("Authorization", "Bearer "+l.Key)
	}
	return r, nil
}

// readAnswer reads a streamed answer and records the latencies of its tokens.
func (l *Load) readAnswer(res *http.Response, started time.Time) (string, error) {
	var text strings.Builder
	last := started
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		payload, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if payload == "[DONE]" {
			return text.String(), nil
		}
		now := time.Now()
		l.recordLatency(now.Sub(last), text.Len() == 0)
		last = now
		c, err := endpt.DecodeChunk([]byte(payload))
		if err != nil {
			return "", err
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return "", errors.Errorf("answer ended without [DONE]: %v", lines.Err())
}

func (l *Load) recordLatency(d time.Duration, first bool) {
	h := l.betweenTokens
	if first {
		h = l.firstToken
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = h.RecordValue(max(d.Microseconds(), 1))
}

func (l *Load) countAnswer(p stand.Prompt, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Whole++
	l.report.Tokens += p.Usage().CompletionTokens
	if text != p.Text() {
		l.report.Whole--
		l.report.Wrong++
	}
}

// loadProblem is the error body that routers send.
type loadProblem struct {
	Error struct {
		Code    string               `json:"code"`
		Outcome buckthornpin.Outcome `json:"outcome"`
	} `json:"error"`
}

func (l *Load) countRefusal(res *http.Response) {
	var p loadProblem
	_ = json.NewDecoder(res.Body).Decode(&p)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Refused++
	l.report.Codes[p.Error.Code+" "+string(p.Error.Outcome)]++
}

func (l *Load) countFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Broken++
	if len(l.report.Problems) < 5 {
		l.report.Problems = append(l.report.Problems, err.Error())
	}
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}
