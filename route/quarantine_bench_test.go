package route

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkQuarantine measures what the quarantine adds to a request: a check and a complete
// answer, while crashes are remembered.
func BenchmarkQuarantine(b *testing.B) {
	for _, crashes := range []int{0, 16, maxCrashes} {
		b.Run(fmt.Sprint(crashes, " crashes"), func(b *testing.B) {
			q := &Quarantine{}
			now := quarantineStart
			for i := range crashes {
				now = now.Add(time.Millisecond)
				var suspects []Suspect
				for k := range maxSuspects {
					suspects = append(suspects, Suspect{Request: Subject(i*1000 + k), Parts: []Subject{Subject(k), Subject(1000 + i)}})
				}
				q.RecordCrash(crashOf(fmt.Sprint("e", i), now, suspects...), now)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				s := Suspect{Request: Subject(i), Parts: []Subject{Subject(i % 64), Subject(i % 10_000)}}
				q.Check(s, false, now)
				q.RecordAnswer(testVersion, s, now)
			}
		})
	}
}

// BenchmarkCrash measures the record of a crash with many suspects.
func BenchmarkCrash(b *testing.B) {
	q := &Quarantine{}
	now := quarantineStart
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		var suspects []Suspect
		for k := range maxSuspects {
			suspects = append(suspects, Suspect{Request: Subject(i*1000 + k), Parts: []Subject{Subject(k), Subject(1000 + i)}})
		}
		q.RecordCrash(crashOf(fmt.Sprint("e", i), now, suspects...), now)
	}
}
