//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// channel is a requester's channel to a router.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: c, reader: bufio.NewReader(c)}, nil
}

// answer is what a requester gets.
type answer struct {
	status   int
	id, seal string
	body     string
	// whole is false if the answer broke off.
	whole bool
}

// String describes the answer for the record.
func (a answer) String() string {
	return fmt.Sprintf("status %d, Attempt-Id %q, Server-Seal %q, body %.40q, whole %v", a.status, a.id, a.seal, a.body, a.whole)
}

// read reads the next answer on the channel.
func (c *channel) read(within time.Duration, method string) (answer, error) {
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		return answer{}, err
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, id: r.Header.Get("Attempt-Id"), seal: r.Header.Get("Server-Seal"), body: string(body), whole: err == nil}, nil
}

// request sends one request on a new channel and returns the answer.
func request(address, method, target, body string, fields ...string) (answer, error) {
	c, err := dial(address)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = c.Close() }()
	if body != "" {
		fields = append(fields, "Content-Length", fmt.Sprint(len(body)))
	}
	if _, err := io.WriteString(c, head(method, target, fields...)+body); err != nil {
		return answer{}, err
	}
	return c.read(10*time.Second, method)
}
