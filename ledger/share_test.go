package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/wire"
)

const horizonMS = 9_000

// budgetOf returns a ledger with one prepaid total.
func budgetOf(tokens int64) *Ledger {
	l := Empty()
	l.Apply(putTotal(1, tokens))
	return l
}

func putTotal(version, tokens int64) *wire.Command {
	return &wire.Command{AtMs: version, Op: &wire.Command_PutSite{PutSite: &wire.PutSite{
		Version: version, Document: []byte{byte(version)}, Totals: []*wire.OrganisationTotal{{Organisation: "fleet", Tokens: tokens}},
	}}}
}

// routerReport is what a router says in tests; atMS is the time.
func routerReport(l *Ledger, atMS int64, router string, r *wire.ShareReport) *wire.ShareGrant {
	r.Organisation = "fleet"
	c := &wire.ReportShares{Router: router, Incarnation: 1, Shares: []*wire.ShareReport{r}, HorizonMs: horizonMS}
	return l.Apply(&wire.Command{AtMs: atMS, Op: &wire.Command_ReportShares{ReportShares: c}}).GetGrants()[0]
}

// reportAll lets routers report in turn until their shares are as control wants
// them, and returns what each holds.
func reportAll(l *Ledger, rates map[string]int64) map[string]int64 {
	held, returned := map[string]int64{}, map[string]int64{}
	for round := range int64(60) {
		for _, router := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			g := routerReport(l, 1_000+round*400, router, &wire.ShareReport{Rate: rates[router], Balance: held[router], Returned: returned[router]})
			held[router] = g.GetGranted() - returned[router]
			if surplus := held[router] - g.GetTarget(); surplus > g.GetTarget()/4 {
				held[router] -= surplus
				returned[router] += surplus
			}
		}
	}
	return held
}

// TestLostRouterTakesLittleAlong: the pattern is an organisation that calls at
// one router only, which is then killed: what it holds is a moment of its demand
// and an even part of the rest, not the whole horizon.
func TestLostRouterTakesLittleAlong(t *testing.T) {
	const rate = 100_000
	held := reportAll(budgetOf(100_000_000), map[string]int64{"a": rate})
	const most = rate*ownSpanMS/1000 + rate*(horizonMS-ownSpanMS)/1000/8
	require.LessOrEqual(t, held["a"], int64(most*5/4))
	sum := int64(0)
	for _, tokens := range held {
		sum += tokens
	}
	require.GreaterOrEqual(t, sum, int64(rate*horizonMS/1000*9/10), "the horizon is covered by all together")
}

// TestHalfStaysAtControl: near its end a budget isn't handed out whole, so that
// the loss of all routers at once leaves a part of it.
func TestHalfStaysAtControl(t *testing.T) {
	l := budgetOf(200_000)
	held := reportAll(l, map[string]int64{"a": 50_000, "b": 50_000})
	sum := int64(0)
	for _, tokens := range held {
		sum += tokens
	}
	require.LessOrEqual(t, sum, int64(200_000/outDivisor*5/4))
	restarted := routerReport(l, 60_000, "a-again", &wire.ShareReport{Need: 50_000})
	require.GreaterOrEqual(t, restarted.GetGranted(), int64(50_000))
}

// TestPutSite: the highest version wins, whatever comes later.
func TestPutSite(t *testing.T) {
	l := budgetOf(10)
	require.Equal(t, int64(7), l.Apply(putTotal(7, 70)).GetVersion())
	for _, version := range []int64{7, 3} {
		r := l.Apply(putTotal(version, 999))
		require.Equal(t, wire.ResultKind_RESULT_KIND_OK, r.GetKind())
		require.Equal(t, int64(7), r.GetVersion())
	}
	require.Equal(t, []byte{7}, l.Site().GetDocument())
	require.Equal(t, int64(70), l.Totals()[0].GetTokens())
}

// TestSharesSurviveASnapshot: after a restart nothing is granted that was handed
// out before.
func TestSharesSurviveASnapshot(t *testing.T) {
	l := budgetOf(100_000)
	routerReport(l, 10, "a", &wire.ShareReport{Need: 100_000})
	data, err := l.Snapshot()
	require.NoError(t, err)
	restored, err := Restore(data)
	require.NoError(t, err)
	require.Equal(t, l.Site().GetVersion(), restored.Site().GetVersion())
	require.Zero(t, routerReport(restored, 20, "b", &wire.ShareReport{Need: 1_000}).GetGranted())
}

// TestFirstReportAfterACut: the pattern is that of the end of each cut. The router
// that reports first has no demand of its own and must not get a part of the
// budget as if there were no other router.
func TestFirstReportAfterACut(t *testing.T) {
	l := budgetOf(10_000_000)
	held := reportAll(l, map[string]int64{"a": 100_000})
	g := routerReport(l, 1_000+60*400+horizonMS, "b", &wire.ShareReport{Balance: held["b"]})
	require.LessOrEqual(t, g.GetTarget(), int64(100_000*horizonMS/1000/8))
}
