package app

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"buckthornpin"
	"buckthornpin/caller"
	"buckthornpin/conn"
	"buckthornpin/endpt"
	"buckthornpin/event"
	"buckthornpin/stand"
	"buckthornpin/wire"
)

const (
	demoBudget  = 20000
	demoTimeout = 30 * time.Second
)

// Demo runs a site in one process, sends it requests and checks that each
// answer is complete and billed once. Its exported fields are set before Run.
type Demo struct {
	Out   io.Writer
	Log   zerolog.Logger
	Build BuildInfo
	JSON  bool

	site *LocalSite
	http *http.Client
	key  string
	// expectedTokens is the number of tokens that the answers so far should have
	// cost.
	expectedTokens int64
	report         DemoReport
}

// DemoReport is the result of the demonstration. Paid, Settled, Held and
// Expected are in tokens.
type DemoReport struct {
	Answers  []DemoAnswer         `json:"answers"`
	Paid     int64                `json:"paid"`
	Settled  int64                `json:"settled"`
	Held     int64                `json:"held"`
	Expected int64                `json:"expected"`
	Timeline []buckthornpin.Event `json:"timeline"`
}

// DemoAnswer is one answer of the demonstration. Whole reports whether the text
// of a chat answer is complete and correct; it is true for all answers of the
// service.
type DemoAnswer struct {
	Name   string `json:"name"`
	Text   string `json:"text"`
	Tokens int64  `json:"tokens"`
	Whole  bool   `json:"whole"`
}

// Run runs the demonstration. Its error names the check that failed.
func (d *Demo) Run(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "buckthornpin-demo-")
	if err != nil {
		return errors.Wrap(err, "create demo folder")
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	d.http = (&conn.Dialer{}).ExternalClient()
	d.site = &LocalSite{ControlReplicas: 1, Routers: 2, Engines: 3, Services: 1, Folder: folder, Log: d.Log, Build: d.Build}
	if err := d.site.Open(ctx); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, d.site.Close()) }()
	if d.key, err = d.site.AddOrganisation(ctx, "harbour-office", demoBudget); err != nil {
		return err
	}
	if err := d.sendAll(ctx); err != nil {
		return err
	}
	return d.checkBill(ctx)
}

func (d *Demo) sendAll(ctx context.Context) error {
	chats := []struct{ name, key, content string }{
		{"streamed through router-1", "", "Where is the thermocline off Kuantan tonight?"},
		{"same question through router-2, under a key", "brief-1", "Where is the thermocline off Kuantan tonight? @tokens=24"},
		{"the key again: the stored answer, no second bill", "brief-1", "Where is the thermocline off Kuantan tonight? @tokens=24"},
		{"an engine breaks at token 5: resumed elsewhere", "brief-2", "Catch zones near Terengganu? @tokens=20 @break_at=5"},
	}
	for i, c := range chats {
		repeated := i > 0 && c.key != "" && chats[i-1].key == c.key
		if err := d.chat(ctx, min(i, 1), c.name, c.key, c.content, !repeated); err != nil {
			return err
		}
	}
	return d.submitPermitTwice(ctx)
}

func (d *Demo) chat(ctx context.Context, router int, name, key, content string, billed bool) error {
	prompt := demoPrompt(content)
	_, body, err := d.post(ctx, router, "/v1/chat/completions", key, false, chatRequest{Prompt: prompt, Stream: true})
	if err != nil {
		return err
	}
	text, err := readStream(body)
	if err != nil {
		return &Error{Op: name, Kind: KindDemo, Err: err}
	}
	usage := prompt.Usage()
	whole := text == prompt.Text()
	d.report.Answers = append(d.report.Answers, DemoAnswer{Name: name, Text: strings.TrimSpace(text), Tokens: usage.TotalTokens, Whole: whole})
	if billed {
		d.expectedTokens += usage.TotalTokens
	}
	if !whole {
		return &Error{Op: name, Kind: KindDemo, Err: errors.Errorf("got %q, expected %q", text, prompt.Text())}
	}
	return nil
}

func demoPrompt(content string) stand.Prompt {
	return stand.Prompt{Model: demoModel, Messages: []stand.Message{{Role: "user", Content: content}}, MaxTokens: 64}
}

// chatRequest is the body of a chat request as callers send it.
type chatRequest struct {
	stand.Prompt
	Stream bool `json:"stream"`
}

// submitPermitTwice sends the same non-idempotent request through both routers
// and checks that it ran once.
func (d *Demo) submitPermitTwice(ctx context.Context) error {
	for _, router := range []int{0, 1} {
		status, body, err := d.post(ctx, router, "/services/"+demoService+"/applications", "permit-7", true, stand.Message{Role: "owner", Content: "two tables, one awning"})
		if err != nil {
			return err
		}
		name := fmt.Sprintf("permit submitted through router-%d: status %d", router+1, status)
		d.report.Answers = append(d.report.Answers, DemoAnswer{Name: name, Text: strings.TrimSpace(string(body)), Tokens: int64(buckthornpin.DefaultServiceCost), Whole: true})
	}
	d.expectedTokens += int64(buckthornpin.DefaultServiceCost)
	runs := 0
	for _, e := range d.site.Endpoints {
		for _, n := range e.Runs() {
			runs += n
		}
	}
	if runs != 1 {
		return &Error{Op: "permit", Kind: KindDemo, Err: errors.Errorf("ran %d times, expected once", runs)}
	}
	return nil
}

func (d *Demo) post(ctx context.Context, router int, path, key string, nonIdempotent bool, payload any) (status int, body []byte, err error) {
	data, err := json.Marshal(payload)
	if err != nil {
		return 0, nil, errors.Wrap(err, "encode")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, d.site.URL(router)+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, errors.Wrap(err, "request")
	}
	r.Header.Set("Authorization", "Bearer "+d.key)
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set(caller.KeyHeader, key)
	}
	if nonIdempotent {
		r.Header.Set(caller.NonIdempotentHeader, "true")
	}
	res, err := d.http.Do(r)
	if err != nil {
		return 0, nil, errors.Wrap(err, "send")
	}
	defer func() { _ = res.Body.Close() }()
	body, err = io.ReadAll(res.Body)
	return res.StatusCode, body, buckthornpin.WrapIf(err, "read")
}

// checkBill compares the tokens that were billed with what the answers should
// have cost.
func (d *Demo) checkBill(ctx context.Context) error {
	system, err := d.site.Operator(0).System(ctx, false)
	if err != nil {
		return err
	}
	o := system.GetOrganisations()[0]
	d.report.Paid, d.report.Settled, d.report.Held, d.report.Expected = o.GetPaid(), o.GetSettled(), o.GetHeld(), d.expectedTokens
	var timelines [][]buckthornpin.Event
	for i := range d.site.Processes {
		events, err := d.site.Operator(i).Timeline(ctx, event.Filter{})
		if err != nil {
			return err
		}
		timelines = append(timelines, events)
	}
	d.report.Timeline = event.Merge(timelines...)
	if err := d.print(o); err != nil {
		return err
	}
	if o.GetSettled() != d.expectedTokens || o.GetHeld() != 0 {
		return &Error{Op: "bill", Kind: KindDemo, Err: errors.Errorf("billed %d tokens and held %d, expected %d and 0", o.GetSettled(), o.GetHeld(), d.expectedTokens)}
	}
	return nil
}

func (d *Demo) print(o *wire.OrganisationState) error {
	if d.JSON {
		return json.NewEncoder(d.Out).Encode(d.report)
	}
	for _, a := range d.report.Answers {
		_, _ = fmt.Fprintf(d.Out, "%s\n    %s\n    whole: %v, %d tokens\n", a.Name, a.Text, a.Whole, a.Tokens)
	}
	_, _ = fmt.Fprintf(d.Out, "\nbill of %s: paid %d, settled %d (expected %d), held %d\n\n", o.GetOrganisation(), o.GetPaid(), o.GetSettled(), d.expectedTokens, o.GetHeld())
	return printTimeline(d.Out, d.report.Timeline)
}

func printTimeline(w io.Writer, events []buckthornpin.Event) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "time\tvm\tkind\torganisation\trequest\tendpoint\tdetail")
	for _, e := range events {
		at := time.UnixMilli(e.At.UnixMilli()).UTC().Format("15:04:05.000")
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", at, e.VM, e.Kind, e.Organisation, e.Request, e.Endpoint, e.Detail)
	}
	return t.Flush()
}

// readStream reads server-sent events up to the [DONE] event and returns the
// text. It fails on an error event and on a stream without [DONE].
func readStream(data []byte) (string, error) {
	var text strings.Builder
	for line := range strings.Lines(string(data)) {
		payload, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if payload == "[DONE]" {
			return text.String(), nil
		}
		c, err := endpt.DecodeChunk([]byte(payload))
		if err != nil {
			return text.String(), err
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String(), errors.Errorf("answer ended without [DONE]: %s", data)
}
