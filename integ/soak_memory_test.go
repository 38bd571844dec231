package integ

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	platf "buckthornpin/platform"
	"buckthornpin/relay"
)

const (
	memoryCheckInterval = 250 * time.Millisecond
	// crowdPerSecond is the rate of a crowd's requests at one router.
	crowdPerSecond = 24
	// slowReaders is the number of callers that don't read their answers.
	slowReaders = 60
	// longAnswerBytes is the size of an answer that no connection's buffers hold.
	longAnswerBytes = 12 << 20
	// longAnswerPath ends the path of requests that get such an answer.
	longAnswerPath = "long"
)

// checkMemory checks that no running process has outgrown its VM, now and then while faults are
// planned.
func (s *soak) checkMemory() {
	for _, v := range s.allVMs() {
		if s.offline[v.name] || s.underFault[v.name] {
			continue
		}
		if peak := v.peakBytes(s.t); peak > vmMemoryMB<<20 {
			s.recordViolation("%s has used %d MB of %d", v.name, peak>>20, vmMemoryMB)
		}
	}
	if len(s.steps) > 0 {
		s.schedule(time.Since(s.began)+memoryCheckInterval, s.checkMemory)
	}
}

// sendLargeBodies has an organisation send many large bodies to one router.
func (s *soak) sendLargeBodies(at, span time.Duration) {
	v := s.pickRandom(s.routers)
	s.schedule(at, func() {
		s.logf("%s: gets large bodies for %v", v.name, span)
		s.background.Go(func() { s.sendCrowd(v, "head-office", crowdPerSecond, span) })
	})
}

// readSlowly has callers of one router ask for long answers and not read them.
func (s *soak) readSlowly(at, span time.Duration) {
	v := s.pickRandom(s.routers)
	s.schedule(at, func() {
		s.logf("%s: %d callers don't read their answers for %v", v.name, slowReaders, span)
		s.background.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, span)
			defer cancel()
			var all sync.WaitGroup
			for range slowReaders {
				all.Go(func() { s.askAndWait(ctx, v) })
			}
			all.Wait()
		})
	})
}

// askAndWait sends a request for a long answer and keeps the connection until ctx ends.
func (f *fleet) askAndWait(ctx context.Context, v *vm) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", v.settings.Platform.CallerAddress)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	h := http.Header{}
	platf.EncodeCallerRequest(h, relay.Request{ID: uuid.NewString(), Key: "key-portmore", Deadline: time.Now().Add(4 * time.Second)})
	_, _ = fmt.Fprintf(c, "GET /safe/%s HTTP/1.1\r\nHost: %s\r\n", longAnswerPath, fleetHost)
	_ = h.Write(c)
	_, _ = fmt.Fprint(c, "\r\n")
	<-ctx.Done()
}
