package integ

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEndpointThatAsksForAPauseIsLeftAlone guards against requests that a router sends to an
// engine of our own interface although it has turned one away and wants none for a time. They
// are refused at once and told when the pause ends.
func TestEndpointThatAsksForAPauseIsLeftAlone(t *testing.T) {
	const pause = 3 * time.Second
	s := startSite(t, plan{controls: 1, routers: 2, engines: 1, engineArgs: []string{"-capacity", "1", "-pause", pause.String()}})
	s.createOrganisation("fleet", 10_000_000)
	// The answer has begun, so that the engine is running the request.
	long, err := callerHTTP.Do(s.newHTTPRequest(t.Context(), "router-1", callerRequest{organisation: "fleet", content: "brief @tokens=40 @pace_ms=20"}))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, long.StatusCode)
	var turnedAway time.Time
	s.eventually("the engine turns a request away", func() bool {
		turnedAway = time.Now()
		return s.send("router-2", callerRequest{organisation: "fleet", content: "brief @tokens=2"}).status == http.StatusServiceUnavailable
	})
	_, err = io.Copy(io.Discard, long.Body)
	require.NoError(t, err)
	require.NoError(t, long.Body.Close())
	for time.Since(turnedAway) < pause-500*time.Millisecond {
		r := s.send("router-2", callerRequest{organisation: "fleet", content: "brief @tokens=2"})
		require.Equal(t, "overload", r.code)
		require.Less(t, r.took, 500*time.Millisecond, "a refusal that is certain is given at once")
		seconds, err := strconv.ParseFloat(r.retryAfter, 64)
		require.NoError(t, err)
		require.LessOrEqual(t, seconds, pause.Seconds()+1, "the header has whole seconds")
	}
	require.True(t, s.send("router-1", callerRequest{organisation: "fleet", content: "brief @tokens=2"}).complete, "the pause concerns one router")
	s.eventually("the pause ends", func() bool {
		return s.send("router-2", callerRequest{organisation: "fleet", content: "brief @tokens=2"}).complete
	})
}
