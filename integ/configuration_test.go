package integ

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin/wire"
)

func putConfigurationCommand(id string, base int64, content string) *wire.Command {
	put := &wire.PutConfiguration{BaseVersion: base, Content: content, Author: id}
	return &wire.Command{Id: id, Op: &wire.Command_PutConfiguration{PutConfiguration: put}}
}

// TestOperatorsRace guards against two configurations being accepted as the same version.
// 200 times, two operators put different contents for the same version through different
// replicas. Exactly one must win, and the other must get the winner's content. The winner
// then sends its change again through a third replica, as after a lost reply, and must get
// the same version.
func TestOperatorsRace(t *testing.T) {
	s := startSite(t, plan{controls: 3, routers: 2})
	for version := range int64(200) {
		var won atomic.Int32
		var contents [2]string
		var both sync.WaitGroup
		for i := range 2 {
			both.Go(func() {
				c := putConfigurationCommand(fmt.Sprintf("op-%d-%d", i, version), version, fmt.Sprintf(`{"max_tokens": %d, "default_max_tokens": 10}`, 1000+2*version+int64(i)))
				r, err := s.operator(s.controls[i].name).Change(t.Context(), c)
				if err != nil {
					return
				}
				if r.GetKind() == wire.ResultKind_RESULT_KIND_OK {
					won.Add(1)
					contents[i] = c.GetPutConfiguration().GetContent()
					again, err := s.operator(s.controls[2].name).Change(t.Context(), c)
					if err != nil || again.GetVersion() != r.GetVersion() {
						won.Add(10)
					}
					return
				}
				contents[i] = r.GetContent()
			})
		}
		both.Wait()
		require.Equal(t, int32(1), won.Load(), "exactly one change must win version %d", version+1)
		require.Equal(t, contents[0], contents[1], "the loser of version %d must get the winner's content", version+1)
	}
	s.eventually("the last version is in force on each router", func() bool { return s.versionInForceEverywhere(200) })
}

func (s *site) versionInForceEverywhere(version int64) bool {
	for _, r := range s.routers {
		st, err := s.operator(r.name).Status(s.t.Context())
		if err != nil || st.Version != version {
			return false
		}
	}
	return true
}

// TestRestartAfterManyChanges guards against a restart that brings back an old
// configuration. After 500 changes all processes are killed and started again. A router
// that reports ready must have the newest version, never an older one.
func TestRestartAfterManyChanges(t *testing.T) {
	s := startSite(t, plan{controls: 3, routers: 2, engines: 1})
	s.createOrganisation("fleet", 100_000)
	for version := range int64(500) {
		r := s.commitChange(putConfigurationCommand(fmt.Sprintf("op-%d", version), version, fmt.Sprintf(`{"max_tokens": %d, "default_max_tokens": 10}`, 1000+version)))
		require.Equal(t, wire.ResultKind_RESULT_KIND_OK, r.GetKind())
	}
	began := time.Now()
	s.eventually("the last version is in force on each router", func() bool { return s.versionInForceEverywhere(500) })
	require.Less(t, time.Since(began), 6*time.Second)
	for _, v := range append(append([]*vm{}, s.controls...), s.routers...) {
		s.kill(v)
	}
	for _, v := range append(append([]*vm{}, s.controls...), s.routers...) {
		s.restart(v)
	}
	s.eventually("each router that is ready has the newest version", func() bool {
		for _, r := range s.routers {
			st, err := s.operator(r.name).Status(t.Context())
			if err != nil || !st.Ready {
				return false
			}
			require.Equal(t, int64(500), st.Version, "a ready router must not have an older version")
		}
		return true
	})
	require.Equal(t, int64(100_000), s.budget("fleet").GetPaid())
}
