package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestThatCrashesEndpoints: the pattern is a request that ends each
// endpoint which runs it and comes again under other ids, through other routers.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	now := time.Unix(1_000, 0)
	bad := &Request{ID: "1", Method: "POST", Host: "h", Target: "/a/x", Key: "k", Body: []byte("bad")}
	again := &Request{ID: "2", Method: "POST", Host: "h", Target: "/a/x", Key: "k", Body: []byte("bad")}
	beside := &Request{ID: "3", Method: "POST", Host: "h", Target: "/a/x", Key: "k", Body: []byte("good")}
	one, other := &Suspects{}, &Suspects{}
	for _, e := range []string{"e1", "e2"} {
		require.True(t, one.Note(Crash{Request: fingerprint(bad), Endpoint: e}, now))
		require.False(t, one.Note(Crash{Request: fingerprint(again), Endpoint: e}, now), "the same endpoint counts once")
	}
	one.Note(Crash{Request: fingerprint(beside), Endpoint: "e2"}, now)
	require.False(t, one.Convicted(again, now))
	for _, c := range one.News(now) {
		other.Note(c, now)
	}
	other.Note(Crash{Request: fingerprint(bad), Endpoint: "e3"}, now)
	require.True(t, other.Convicted(again, now), "two crashes at one router and one at another")
	require.False(t, other.Convicted(beside, now), "a request beside it isn't convicted")
	require.False(t, other.Convicted(again, now.Add(2*suspectFor)))
}
