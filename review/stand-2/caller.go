//go:build review2

package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// attempts numbers the attempts of all callers.
var attempts atomic.Int64

// answer is what a caller has got.
type answer struct {
	id     string
	status int
	sealed bool
	events int
	// complete is set if the answer ended as a complete one does.
	complete bool
	err      error
}

// streamClient serves callers of streams. Each of their requests has a channel of its own.
var streamClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// askStream sends one request for a stream to a router and reads the answer to its end. parts and
// tokens are its headers Prompt-Prefix and Token-Count.
func (f *fleet) askStream(v *vm, path, parts, tokens string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("attempt-%d", attempts.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address(v, f.caller)+path+a.id, strings.NewReader("the prompt of "+a.id))
	if err != nil {
		a.err = err
		return a
	}
	q.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": a.id, "Api-Key": tenantKey, "Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "Model": "m",
		"Token-Count": tokens, "Prompt-Prefix": parts,
	} {
		q.Header.Set(name, value)
	}
	r, err := streamClient.Do(q)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = r.Body.Close() }()
	a.status, a.sealed = r.StatusCode, r.Header.Get("Server-Seal") != ""
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			a.events++
		}
	}
	a.err = lines.Err()
	a.complete = a.err == nil
	return a
}

func (a answer) String() string {
	return fmt.Sprintf("%s: status %d, sealed %v, %d events, ends as complete %v, error %v", a.id, a.status, a.sealed, a.events, a.complete, a.err)
}
