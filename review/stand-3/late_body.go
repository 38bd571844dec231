//go:build review3

package main

import (
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	// uploadPause is how long the requester pauses within its upload. The idle-timeout-ms of the
	// desired state is 15,000.
	uploadPause = 4 * time.Second
	// applyTime is the config-apply-ms of the settings, and a margin.
	applyTime = 2500 * time.Millisecond
	// otherInterval is the time between two requests of another requester.
	otherInterval = 50 * time.Millisecond
	quotedID      = "attempt-quoted"
)

// lateBody takes a key away from a connected requester. Its next upload is answered with 401
// before the whole body has come. The body quotes a request, and the quotation comes after a
// pause.
func lateBody(s *scene) (verdict, error) {
	if err := s.start(3, 1); err != nil {
		return verdict{}, err
	}
	if _, err := s.startEngine("i-records-1", plainService); err != nil {
		return verdict{}, err
	}
	routes := []route{
		{name: "r-report", prefix: "/report/", service: plainService, kind: "unsafe", timeoutMS: 8000},
		{name: "r-notice", prefix: "/notice/", service: plainService, kind: "unsafe", timeoutMS: 8000, anonymous: true},
	}
	if err := s.put(1, configuration(1, routes, []string{"key-1", "key-2"})); err != nil {
		return verdict{}, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	address := s.address(s.routers()[0], "front")
	c, err := dial(address)
	if err != nil {
		return verdict{}, err
	}
	defer func() { _ = c.Close() }()
	if err := s.sendFirst(c); err != nil {
		return verdict{}, err
	}
	go s.sendOthers(address)
	if s.trouble {
		if err := s.put(2, configuration(2, routes, []string{"key-2"})); err != nil {
			return verdict{}, err
		}
		time.Sleep(applyTime)
	}
	if err := s.sendInTwoParts(c); err != nil {
		return verdict{}, err
	}
	answers := s.readAll(c)
	for _, x := range s.executions() {
		if x.id == quotedID {
			return verdict{broken: true, why: fmt.Sprintf("UNASKED: an engine ran %s %s, which no requester sent: it stood in the body of attempt-2; answers on the channel: %v", x.method, x.target, answers)}, nil
		}
	}
	return verdict{why: fmt.Sprintf("no engine ran a request that no requester sent; answers on the channel: %v", answers)}, nil
}

// upload returns the head of an upload.
func upload(id, target, key string, length int) string {
	return head("POST", target, "Attempt-Id", id, "Deadline-Ms", "8000", "Api-Key", key, "Content-Length", fmt.Sprint(length))
}

func (s *scene) sendFirst(c *channel) error {
	body := "a short report"
	if _, err := io.WriteString(c, upload("attempt-1", "/report/a", "key-1", len(body))+body); err != nil {
		return err
	}
	a, err := c.read(10*time.Second, "POST")
	if err != nil || a.status != 200 {
		return fmt.Errorf("attempt-1: %v, %w", a, err)
	}
	s.note("attempt-1 on the requester's channel: %v", a)
	return nil
}

func (s *scene) sendInTwoParts(c *channel) error {
	opening := strings.Repeat("The desk's log of the afternoon follows. ", 50)
	quotation := head("POST", "/notice/quoted", "Attempt-Id", quotedID, "Deadline-Ms", "8000", "Content-Length", "0")
	length := len(opening) + len(quotation)
	if _, err := io.WriteString(c, upload("attempt-2", "/report/b", "key-1", length)+opening); err != nil {
		return err
	}
	s.note("attempt-2 was sent up to a pause of %v in its body, %d of %d bytes", uploadPause, len(opening), length)
	time.Sleep(uploadPause)
	_, err := io.WriteString(c, quotation)
	s.note("the rest of the body was sent, %d bytes; error: %v", len(quotation), err)
	return nil
}

// readAll reads the answers on a channel until none has come for some time, and returns their ids
// and statuses.
func (s *scene) readAll(c *channel) []string {
	var out []string
	for {
		a, err := c.read(3*time.Second, "POST")
		if err != nil {
			s.note("no further answer on the channel: %v", err)
			return out
		}
		s.note("answer on the channel: %v", a)
		out = append(out, fmt.Sprintf("%s %d", a.id, a.status))
	}
}

// sendOthers sends the requests of another requester, whose key stays.
func (s *scene) sendOthers(address string) {
	for n := 1; !s.isClosed(); n++ {
		_, _ = request(address, "POST", "/report/c", "another report", "Attempt-Id", fmt.Sprintf("other-%d", n), "Deadline-Ms", "8000", "Api-Key", "key-2")
		time.Sleep(otherInterval)
	}
}
