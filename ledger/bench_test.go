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

func manyOrganisations(b *testing.B, n int) *driver {
	b.Helper()
	d := &driver{t: b, l: Empty(), at: 1}
	apply := func(c *wire.Command) {
		d.n++
		c.Id, c.AtMs = fmt.Sprintf("c%d", d.n), d.at
		require.Equal(b, ok, d.l.Apply(c).GetKind())
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

// BenchmarkOrganisations reports the memory of an organisation with a key, and
// the time of a reservation and its settlement, against their number.
func BenchmarkOrganisations(b *testing.B) {
	for _, n := range []int{10, 1000, 34000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapBytes()
			d := manyOrganisations(b, n)
			bytes := (heapBytes() - before) / float64(n)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				d.cycle(fmt.Sprintf("organisation-%d", i%n), i)
			}
			b.ReportMetric(bytes, "B/organisation")
		})
	}
}

// cycle reserves and settles one request, one millisecond later.
func (d *driver) cycle(organisation string, i int) {
	d.at++
	key := fmt.Sprintf("key-%d", i)
	d.l.Apply(&wire.Command{Id: "r" + key, AtMs: d.at, Op: &wire.Command_Reserve{Reserve: &wire.Reserve{
		Organisation: organisation, Key: key, Bound: 100, Router: "vm-1", Incarnation: 1, Digest: "0123456789abcdef", Fresh: true,
	}}})
	d.l.Apply(&wire.Command{AtMs: d.at, Op: &wire.Command_Settle{Settle: &wire.Settle{Organisation: organisation, Key: key, Dispatch: 1, Tokens: 50, Whole: true}}})
}

// BenchmarkSnapshot reports size, memory and time against the number of
// remembered requests.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := manyOrganisations(b, 1000)
			before := heapBytes()
			for i := range n {
				d.cycle(fmt.Sprintf("organisation-%d", i%1000), i)
				d.at--
			}
			bytes := (heapBytes() - before) / float64(n)
			size := 0
			for b.Loop() {
				data, err := d.l.Snapshot()
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(bytes, "B/request")
			b.ReportMetric(float64(size)/float64(n), "file-B/request")
		})
	}
}
