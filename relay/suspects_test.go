package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestThatCrashesEndpoints guards against a request that crashes each endpoint which
// runs it and is retried with other ids through other routers.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	now := time.Unix(1_000, 0)
	bad := &Request{ID: "1", Method: "POST", Host: "h", Target: "/a/x", Key: "k", Body: []byte("bad")}
	again := &Request{ID: "2", Method: "POST", Host: "h", Target: "/a/x", Key: "k", Body: []byte("bad")}
	unrelated := &Request{ID: "3", Method: "POST", Host: "h", Target: "/a/x", Key: "k", Body: []byte("good")}
	first, second := &CrashTracker{}, &CrashTracker{}
	for _, e := range []string{"e1", "e2"} {
		require.True(t, first.RecordCrash(Crash{Request: fingerprint(bad), Endpoint: e}, now))
		require.False(t, first.RecordCrash(Crash{Request: fingerprint(again), Endpoint: e}, now), "the same endpoint counts once")
	}
	first.RecordCrash(Crash{Request: fingerprint(unrelated), Endpoint: "e2"}, now)
	require.False(t, first.Quarantined(again, now))
	for _, c := range first.RecentCrashes(now) {
		second.RecordCrash(c, now)
	}
	second.RecordCrash(Crash{Request: fingerprint(bad), Endpoint: "e3"}, now)
	require.True(t, second.Quarantined(again, now), "two crashes at one router and one at another")
	require.False(t, second.Quarantined(unrelated, now), "a request that ran beside it isn't quarantined")
	require.False(t, second.Quarantined(again, now.Add(2*crashRetention)))
}
