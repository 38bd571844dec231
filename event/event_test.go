package event

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpin"
)

// TestMergeKeepsCausalOrder checks that an event recorded after a message was
// received is ordered after the sender's earlier events, even if the receiver's
// wall clock is behind the sender's.
func TestMergeKeepsCausalOrder(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	ahead := &Timeline{VM: "a", Clock: &Clock{Now: func() time.Time { return now.Add(5 * time.Second) }}}
	behind := &Timeline{VM: "b", Clock: &Clock{Now: func() time.Time { return now }}}
	ahead.Record(buckthornpin.Event{Kind: buckthornpin.EventReserved})
	behind.Clock.Observe(ahead.Clock.Next())
	behind.Record(buckthornpin.Event{Kind: buckthornpin.EventDispatched})
	merged := Merge(behind.Events(Filter{}), ahead.Events(Filter{}))
	require.Equal(t, buckthornpin.EventReserved, merged[0].Kind)
	require.Equal(t, buckthornpin.EventDispatched, merged[1].Kind)
}

func TestClockIgnoresStampsFarInTheFuture(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	c := &Clock{Now: func() time.Time { return now }}
	c.Observe(buckthornpin.Stamp(now.Add(time.Hour).UnixMilli()) << counterBits)
	require.Equal(t, now.UnixMilli(), c.Next().UnixMilli())
}

func TestTimelineKeepsNewestEvents(t *testing.T) {
	timeline := &Timeline{Clock: &Clock{}, Capacity: 3}
	for i := range 5 {
		timeline.Record(buckthornpin.Event{Request: fmt.Sprint(i)})
	}
	events := timeline.Events(Filter{})
	require.Len(t, events, 3)
	require.Equal(t, "2", events[0].Request)
	require.Equal(t, "4", events[2].Request)
}

func ExampleMerge() {
	first := []buckthornpin.Event{{At: 1, VM: "a"}, {At: 3, VM: "a"}}
	second := []buckthornpin.Event{{At: 2, VM: "b"}}
	for _, e := range Merge(first, second) {
		fmt.Println(e.At, e.VM)
	}
	// Output:
	// 1 a
	// 2 b
	// 3 a
}
