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
	defaultLoadTime = 10 * time.Second
	// largestLatency is the largest latency that histograms tell apart, in
	// microseconds.
	largestLatency = int64(time.Hour / time.Microsecond)
	// histogramDigits is the precision of histograms.
	histogramDigits = 3
	// loadMargin is how long answers may take after the last request.
	loadMargin = time.Minute
)

// Load sends requests at random times of a mean rate. Its exported fields are
// set before Run.
type Load struct {
	URLs  []string
	Key   string
	Model string
	// Rate is the mean number of requests per second.
	Rate   float64
	For    time.Duration
	Seed   int64
	Tokens int
	// Pace is the stand-in's time between tokens; 0 is its own.
	Pace time.Duration
	// Direct sends to an endpoint in place of a router.
	Direct bool

	http   *http.Client
	mu     sync.Mutex
	first  *hdrhistogram.Histogram
	gaps   *hdrhistogram.Histogram
	report LoadReport
}

// LoadReport is the result of a load. Latencies are in milliseconds.
type LoadReport struct {
	Rate     float64        `json:"rate"`
	Seed     int64          `json:"seed"`
	Sent     int            `json:"sent"`
	Whole    int            `json:"whole"`
	Wrong    int            `json:"wrong"`
	Refused  int            `json:"refused"`
	Broken   int            `json:"broken"`
	Codes    map[string]int `json:"codes,omitempty"`
	Tokens   int64          `json:"tokens"`
	Seconds  float64        `json:"seconds"`
	First    Latency        `json:"first_token_ms"`
	Between  Latency        `json:"between_tokens_ms"`
	Problems []string       `json:"problems,omitempty"`
}

// Latency is a distribution in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Run sends the load and returns when the last answer has ended.
func (l *Load) Run(ctx context.Context) LoadReport {
	l.http = (&conn.Dialer{}).ExternalClient()
	l.http.Transport.(*http.Transport).MaxIdleConnsPerHost = 4096
	l.first = hdrhistogram.New(1, largestLatency, histogramDigits)
	l.gaps = hdrhistogram.New(1, largestLatency, histogramDigits)
	l.report = LoadReport{Rate: l.Rate, Seed: l.Seed, Codes: map[string]int{}}
	ctx, cancel := context.WithTimeout(ctx, l.For+loadMargin)
	defer cancel()
	began := time.Now()
	l.sendAll(ctx, began)
	l.report.Seconds = time.Since(began).Seconds()
	l.report.First = latencyOf(l.first)
	l.report.Between = latencyOf(l.gaps)
	return l.report
}

func (l *Load) sendAll(ctx context.Context, began time.Time) {
	rng := rand.New(rand.NewSource(l.Seed))
	var all sync.WaitGroup
	at := time.Duration(0)
	for n := 0; ctx.Err() == nil; n++ {
		at += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
		if at > l.For {
			break
		}
		wait(ctx, time.Until(began.Add(at)))
		l.report.Sent++
		url := l.URLs[n%len(l.URLs)]
		content := fmt.Sprintf("question %d of %d @tokens=%d", n, l.Seed, l.Tokens)
		if l.Pace > 0 {
			content += fmt.Sprintf(" @pace_ms=%d", l.Pace.Milliseconds())
		}
		all.Go(func() { l.one(ctx, url, content, n) })
	}
	all.Wait()
}

func (l *Load) one(ctx context.Context, url, content string, n int) {
	p := stand.Prompt{Model: l.Model, Messages: []stand.Message{{Role: "user", Content: content}}, MaxTokens: l.Tokens}
	r, err := l.request(ctx, url, p, n)
	if err != nil {
		l.broken(err)
		return
	}
	began := time.Now()
	res, err := l.http.Do(r)
	if err != nil {
		l.broken(err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		l.refused(res)
		return
	}
	text, err := l.read(res, began)
	if err != nil {
		l.broken(err)
		return
	}
	l.answered(p, text)
}

func (l *Load) request(ctx context.Context, url string, p stand.Prompt, n int) (*http.Request, error) {
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

// read reads a streamed answer and notes the times of its tokens.
func (l *Load) read(res *http.Response, began time.Time) (string, error) {
	var text strings.Builder
	last := began
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
		l.note(now.Sub(last), text.Len() == 0)
		last = now
		c, err := endpt.DecodeChunk([]byte(payload))
		if err != nil {
			return "", err
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return "", errors.Errorf("answer without end mark: %v", lines.Err())
}

func (l *Load) note(d time.Duration, first bool) {
	h := l.gaps
	if first {
		h = l.first
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = h.RecordValue(max(d.Microseconds(), 1))
}

func (l *Load) answered(p stand.Prompt, text string) {
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

func (l *Load) refused(res *http.Response) {
	var p loadProblem
	_ = json.NewDecoder(res.Body).Decode(&p)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Refused++
	l.report.Codes[p.Error.Code+" "+string(p.Error.Outcome)]++
}

func (l *Load) broken(err error) {
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
