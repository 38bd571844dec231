package app

import (
	"bytes"
	"encoding/json"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
	"buckthornpin/endpt"
	"buckthornpin/event"
	"buckthornpin/peer"
	"buckthornpin/wire"
)

const (
	announcementSeeds    = 40
	announcementsPerSeed = 60
)

// TestUnusableNamesOnOurInterface guards against announced names that can't be written and read back
// unchanged, so that no message of a router that has heard them can be encoded or used.
func TestUnusableNamesOnOurInterface(t *testing.T) {
	for seed := range uint64(announcementSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { announceAmongForeign(t, seed, drawUnusableName) })
	}
}

// TestAnnouncementAtASoundAddress guards against an announcement that takes a sound endpoint at its
// address out of service.
func TestAnnouncementAtASoundAddress(t *testing.T) {
	asItIs := func(_ *rand.Rand, a endpt.Announcement) endpt.Announcement { return a }
	for seed := range uint64(announcementSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { announceAmongForeign(t, seed, asItIs) })
	}
}

// announceAmongForeign sends announcements of two sound endpoints to a router, drawn ones of another
// writer between them, and requires that a second router learns of the two and uses them.
func announceAmongForeign(t *testing.T, seed uint64, draw func(rng *rand.Rand, a endpt.Announcement) endpt.Announcement) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	first, second := newAnnouncedDirectory(), newAnnouncedDirectory()
	handler, err := (&endpt.AnnouncementServer{
		Directory: first, Events: first.Events, Secret: func() string { return "" }, UnauthorisedCalls: new(expvar.Int),
	}).Handler()
	require.NoError(t, err)
	announce := func(a endpt.Announcement) int {
		data, err := json.Marshal(a)
		require.NoError(t, err)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, endpt.AnnouncePath, bytes.NewReader(data)))
		return w.Code
	}
	sound := []endpt.Announcement{
		{Endpoint: "engine-1", Address: "10.0.0.1:9000", Zone: "z", Models: []string{"m"}, Capacity: 2, Incarnation: 10},
		{Endpoint: "engine-2", Address: "10.0.0.2:9000", Zone: "z", Models: []string{"m"}, Capacity: 2, Incarnation: 10},
	}
	for i := range announcementsPerSeed {
		foreign := sound[rng.IntN(2)]
		foreign.Endpoint, foreign.Sequence = fmt.Sprint("agent-", rng.IntN(4)), 1
		foreign.Incarnation += int64(rng.IntN(3)) - 1
		foreign = draw(rng, foreign)
		if err := foreignCheck(foreign); err != nil {
			require.Equal(t, http.StatusBadRequest, announce(foreign), "%v", err)
		} else {
			require.Equal(t, http.StatusOK, announce(foreign))
		}
		for k := range sound {
			sound[k].Sequence = int64(i + 1)
			require.Equal(t, http.StatusOK, announce(sound[k]))
		}
		r := &wire.ExchangeRequest{}
		if throughWire(&wire.ExchangeRequest{Endpoints: first.NextUpdates()}, r) {
			second.Merge(r.GetEndpoints())
		}
	}
	for _, d := range []*peer.Directory{first, second} {
		used := livingIDs(d.Serving(buckthornpin.Target{Model: "m"}))
		require.Subset(t, used, []string{"engine-1", "engine-2"})
	}
}

func newAnnouncedDirectory() *peer.Directory {
	line := &event.Timeline{VM: "router", Clock: &event.Clock{}}
	return &peer.Directory{Events: line, DeadAfter: time.Minute, Addresses: func() []string { return nil }}
}

// drawUnusableName returns an announcement with text that can't be written in one of its names.
func drawUnusableName(rng *rand.Rand, a endpt.Announcement) endpt.Announcement {
	text := []string{"\r\n", "\x00", " ", "\x7f", "\ufffd", "\r\nX-Added: 1"}[rng.IntN(6)]
	a.Address = "10.0.0.9:9000"
	switch rng.IntN(6) {
	case 0:
		a.Endpoint += text
	case 1:
		a.Zone += text
	case 2:
		a.Models = []string{"m" + text}
	case 3:
		a.Adapters = []string{text + "a"}
	case 4:
		a.Services = []string{"s" + text}
	default:
		a.Address = "10.0.0.1" + text + ":9000"
	}
	return a
}

// foreignCheck returns an error if a name of an announcement can't be used.
func foreignCheck(a endpt.Announcement) error {
	names := append(append([]string{a.Endpoint, a.Zone, a.Address}, a.Models...), append(a.Adapters, a.Services...)...)
	for _, name := range names {
		if err := buckthornpin.CheckName(name); err != nil {
			return err
		}
	}
	return nil
}

// livingIDs returns the ids of endpoints that take work.
func livingIDs(all []*buckthornpin.Endpoint) []string {
	var out []string
	for _, e := range all {
		if !e.Leaving && !e.Dead {
			out = append(out, e.ID)
		}
	}
	return out
}
