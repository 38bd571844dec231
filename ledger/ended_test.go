package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/wire"
)

const (
	sameBoot     = 77
	secondNS     = 1_000_000_000
	limitedFrom  = secondNS / 2
	limitedUntil = 5 * secondNS
)

// process is a router process in a test of ended processes.
type process struct {
	incarnation, startedNS int64
	boot                   uint64
}

// report applies a report of a process of the router a and returns the grant.
func (p process) report(l *Ledger, atMS int64, r *wire.ShareReport) *wire.ShareGrant {
	r.Organisation = "fleet"
	c := &wire.ReportShares{
		Router: "a", Incarnation: p.incarnation, Boot: p.boot, StartedNs: p.startedNS, HorizonMs: horizonMS, Shares: []*wire.ShareReport{r},
	}
	return l.Apply(&wire.Command{AtMs: atMS, Op: &wire.Command_ReportShares{ReportShares: c}}).GetGrants()[0]
}

// limitedProcess lets a process take 60,000 of 100,000 tokens and limit its use to 20,000
// of them.
func limitedProcess() (*Ledger, process) {
	l := ledgerWithTotal(100_000)
	p := process{incarnation: 1, startedNS: secondNS, boot: sameBoot}
	p.report(l, 1_000, &wire.ShareReport{Need: 60_000})
	p.report(l, 1_400, &wire.ShareReport{Balance: 60_000, Limit: &wire.UseLimit{Sequence: 1, Tokens: 20_000, FromNs: limitedFrom, UntilNs: limitedUntil}})
	return l, p
}

func free(l *Ledger) int64 {
	a := l.allowances["fleet"]
	return a.total - a.outstanding
}

// TestEndedProcessGivesBack checks what control takes back of the share of a process whose
// VM runs a new one.
func TestEndedProcessGivesBack(t *testing.T) {
	for name, c := range map[string]struct {
		next      process
		takenBack int64
		reason    wire.EndReason
	}{
		"while the limit holds":  {process{incarnation: 2, startedNS: limitedUntil - 1, boot: sameBoot}, 40_000, wire.EndReason_END_REASON_LIMITED},
		"after the limit":        {process{incarnation: 2, startedNS: limitedUntil, boot: sameBoot}, 0, wire.EndReason_END_REASON_LIMIT_ENDED},
		"after another boot":     {process{incarnation: 2, startedNS: limitedUntil - 1, boot: sameBoot + 1}, 0, wire.EndReason_END_REASON_OTHER_BOOT},
		"without a clock":        {process{incarnation: 2}, 0, wire.EndReason_END_REASON_OTHER_BOOT},
		"before the limit began": {process{incarnation: 2, startedNS: limitedFrom, boot: sameBoot}, 0, wire.EndReason_END_REASON_LIMIT_ENDED},
	} {
		t.Run(name, func(t *testing.T) {
			l, _ := limitedProcess()
			before := free(l)
			g := c.next.report(l, 2_000, &wire.ShareReport{})
			require.Equal(t, before+c.takenBack-g.GetGranted(), free(l))
			require.Len(t, g.GetEnded(), 1)
			e := g.GetEnded()[0]
			require.Equal(t, []int64{1, 60_000, c.takenBack}, []int64{e.GetIncarnation(), e.GetHeld(), e.GetTakenBack()})
			require.Equal(t, c.reason, e.GetReason())
		})
	}
}

// TestDelayedReportOfEndedProcess checks that a report which arrives after the share of its
// process was taken back neither returns the same tokens again nor gets new ones.
func TestDelayedReportOfEndedProcess(t *testing.T) {
	l, ended := limitedProcess()
	process{incarnation: 2, startedNS: 2 * secondNS, boot: sameBoot}.report(l, 2_000, &wire.ShareReport{})
	before := free(l)
	g := ended.report(l, 2_100, &wire.ShareReport{Returned: 50_000, Need: 10_000})
	require.Equal(t, int64(60_000), g.GetGranted())
	require.Equal(t, before, free(l))
}

// TestOlderLimitDoesNotReplaceNewer checks that a delayed report leaves the newer limit in
// place.
func TestOlderLimitDoesNotReplaceNewer(t *testing.T) {
	l, p := limitedProcess()
	p.report(l, 1_500, &wire.ShareReport{Balance: 60_000, Limit: &wire.UseLimit{Sequence: 2, Tokens: 50_000, FromNs: limitedFrom, UntilNs: limitedUntil}})
	p.report(l, 1_600, &wire.ShareReport{Balance: 60_000, Limit: &wire.UseLimit{Sequence: 1, Tokens: 20_000, FromNs: limitedFrom, UntilNs: limitedUntil}})
	before := free(l)
	granted := process{incarnation: 2, startedNS: 2 * secondNS, boot: sameBoot}.report(l, 2_000, &wire.ShareReport{}).GetGranted()
	require.Equal(t, before+10_000-granted, free(l))
}

// TestLimitsSurviveSnapshot checks that a share can be taken back after control has been
// restored from a snapshot.
func TestLimitsSurviveSnapshot(t *testing.T) {
	l, _ := limitedProcess()
	data, err := l.Snapshot()
	require.NoError(t, err)
	restored, err := Restore(data)
	require.NoError(t, err)
	granted := process{incarnation: 2, startedNS: 2 * secondNS, boot: sameBoot}.report(restored, 2_000, &wire.ShareReport{}).GetGranted()
	require.Equal(t, int64(80_000)-granted, free(restored))
}
