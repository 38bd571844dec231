package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/wire"
)

const horizonMS = 9_000

// ledgerWithTotal returns a ledger with one prepaid total.
func ledgerWithTotal(tokens int64) *Ledger {
	l := Empty()
	l.Apply(putTotal(1, tokens))
	return l
}

func putTotal(version, tokens int64) *wire.Command {
	return &wire.Command{AtMs: version, Op: &wire.Command_PutSite{PutSite: &wire.PutSite{
		Version: version, Document: []byte{byte(version)}, Totals: []*wire.OrganisationTotal{{Organisation: "fleet", Tokens: tokens}},
	}}}
}

// reportOneShare applies a router's report at the time atMS and returns the
// resulting grant.
func reportOneShare(l *Ledger, atMS int64, router string, r *wire.ShareReport) *wire.ShareGrant {
	r.Organisation = "fleet"
	c := &wire.ReportShares{Router: router, Incarnation: 1, Shares: []*wire.ShareReport{r}, HorizonMs: horizonMS}
	return l.Apply(&wire.Command{AtMs: atMS, Op: &wire.Command_ReportShares{ReportShares: c}}).GetGrants()[0]
}

// reportAll lets eight routers report in turn until their shares have settled at
// their targets, and returns what each router holds.
func reportAll(l *Ledger, rates map[string]int64) map[string]int64 {
	held, returned := map[string]int64{}, map[string]int64{}
	for round := range int64(60) {
		for _, router := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			g := reportOneShare(l, 1_000+round*400, router, &wire.ShareReport{Rate: rates[router], Balance: held[router], Returned: returned[router]})
			held[router] = g.GetGranted() - returned[router]
			if surplus := held[router] - g.GetTarget(); surplus > g.GetTarget()/4 {
				held[router] -= surplus
				returned[router] += surplus
			}
		}
	}
	return held
}

// TestRouterShareIsBounded guards against losing too many tokens with a killed
// router. Even if an organisation calls only one router, that router holds its
// own demand for ownDemandSpanMS and an even part of the rest, not the demand of
// the whole horizon.
func TestRouterShareIsBounded(t *testing.T) {
	const rate = 100_000
	held := reportAll(ledgerWithTotal(100_000_000), map[string]int64{"a": rate})
	const maxHeld = rate*ownDemandSpanMS/1000 + rate*(horizonMS-ownDemandSpanMS)/1000/8
	require.LessOrEqual(t, held["a"], int64(maxHeld*5/4))
	sum := int64(0)
	for _, tokens := range held {
		sum += tokens
	}
	require.GreaterOrEqual(t, sum, int64(rate*horizonMS/1000*9/10), "all routers together cover the horizon")
}

// TestControlRetainsHalfOfTotal checks that a budget that is nearly used up isn't
// handed out completely, so that a part of it remains if all routers are lost at
// once.
func TestControlRetainsHalfOfTotal(t *testing.T) {
	l := ledgerWithTotal(200_000)
	held := reportAll(l, map[string]int64{"a": 50_000, "b": 50_000})
	sum := int64(0)
	for _, tokens := range held {
		sum += tokens
	}
	require.LessOrEqual(t, sum, int64(200_000/outstandingDivisor*5/4))
	restarted := reportOneShare(l, 60_000, "a-again", &wire.ShareReport{Need: 50_000})
	require.GreaterOrEqual(t, restarted.GetGranted(), int64(50_000))
}

// TestPutSite checks that the highest version stays in force, whatever arrives
// later.
func TestPutSite(t *testing.T) {
	l := ledgerWithTotal(10)
	require.Equal(t, int64(7), l.Apply(putTotal(7, 70)).GetVersion())
	for _, version := range []int64{7, 3} {
		r := l.Apply(putTotal(version, 999))
		require.Equal(t, wire.ResultKind_RESULT_KIND_OK, r.GetKind())
		require.Equal(t, int64(7), r.GetVersion())
	}
	require.Equal(t, []byte{7}, l.Site().GetDocument())
	require.Equal(t, int64(70), l.Totals()[0].GetTokens())
}

// TestSharesSurviveSnapshot checks that tokens handed out before a restart aren't
// granted again afterwards.
func TestSharesSurviveSnapshot(t *testing.T) {
	l := ledgerWithTotal(100_000)
	reportOneShare(l, 10, "a", &wire.ShareReport{Need: 100_000})
	data, err := l.Snapshot()
	require.NoError(t, err)
	restored, err := Restore(data)
	require.NoError(t, err)
	require.Equal(t, l.Site().GetVersion(), restored.Site().GetVersion())
	require.Zero(t, reportOneShare(restored, 20, "b", &wire.ShareReport{Need: 1_000}).GetGranted())
}

// TestFirstReportAfterPartition covers the end of a network partition. The router
// that reports first has no demand of its own and must not get a share as if it
// were the only router.
func TestFirstReportAfterPartition(t *testing.T) {
	l := ledgerWithTotal(10_000_000)
	held := reportAll(l, map[string]int64{"a": 100_000})
	g := reportOneShare(l, 1_000+60*400+horizonMS, "b", &wire.ShareReport{Balance: held["b"]})
	require.LessOrEqual(t, g.GetTarget(), int64(100_000*horizonMS/1000/8))
}
