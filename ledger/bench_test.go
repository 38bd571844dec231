package ledger

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"buckthornpin/wire"
)

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func driverWithOrganisations(b *testing.B, n int) *driver {
	b.Helper()
	d := &driver{t: b, ledger: Empty(), nowMS: 1}
	apply := func(c *wire.Command) {
		d.commands++
		c.Id, c.AtMs = fmt.Sprintf("c%d", d.commands), d.nowMS
		require.Equal(b, ok, d.ledger.Apply(c).GetKind())
	}
	apply(&wire.Command{Op: &wire.Command_RegisterRouter{RegisterRouter: &wire.RegisterRouter{Router: "vm-1"}}})
	for i := range n {
		id := fmt.Sprintf("organisation-%d", i)
		apply(&wire.Command{Op: &wire.Command_PutOrganisation{PutOrganisation: &wire.PutOrganisation{Organisation: id}}})
		apply(&wire.Command{Op: &wire.Command_TopUp{TopUp: &wire.TopUp{Organisation: id, Tokens: MaxTopUp}}})
		apply(&wire.Command{Op: &wire.Command_PutKey{PutKey: &wire.PutKey{Organisation: id, Hash: fmt.Sprintf("%064x", i)}}})
	}
	return d
}

// BenchmarkOrganisations reports, for several numbers of organisations, the
// memory per organisation with one key and the time to reserve and settle one
// request.
func BenchmarkOrganisations(b *testing.B) {
	for _, n := range []int{10, 1000, 34000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapBytes()
			d := driverWithOrganisations(b, n)
			bytes := (heapBytes() - before) / float64(n)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				d.reserveAndSettle(fmt.Sprintf("organisation-%d", i%n), i)
			}
			b.ReportMetric(bytes, "B/organisation")
		})
	}
}

// reserveAndSettle advances the time by one millisecond, then reserves and
// settles one request.
func (d *driver) reserveAndSettle(organisation string, i int) {
	d.nowMS++
	key := fmt.Sprintf("key-%d", i)
	d.ledger.Apply(&wire.Command{Id: "r" + key, AtMs: d.nowMS, Op: &wire.Command_Reserve{Reserve: &wire.Reserve{
		Organisation: organisation, Key: key, Bound: 100, Router: "vm-1", Incarnation: 1, Digest: "0123456789abcdef", Fresh: true,
	}}})
	d.ledger.Apply(&wire.Command{AtMs: d.nowMS, Op: &wire.Command_Settle{Settle: &wire.Settle{Organisation: organisation, Key: key, Dispatch: 1, Tokens: 50, Whole: true}}})
}

// BenchmarkSnapshot reports, for several numbers of remembered requests, the time
// to encode a snapshot and its size and the heap memory per request.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := driverWithOrganisations(b, 1000)
			before := heapBytes()
			for i := range n {
				d.reserveAndSettle(fmt.Sprintf("organisation-%d", i%1000), i)
				d.nowMS--
			}
			bytes := (heapBytes() - before) / float64(n)
			size := 0
			for b.Loop() {
				data, err := d.ledger.Snapshot()
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(bytes, "B/request")
			b.ReportMetric(float64(size)/float64(n), "file-B/request")
		})
	}
}
