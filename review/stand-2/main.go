//go:build review2

// Command stand-2 plays the cases of the second review: it starts the project's own programs
// on loopback addresses and stands in for their operator, callers, engines and platform.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

// cases are the cases by their numbers. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"6":  controlReplaced,
	"7":  overspentBudget,
	"8":  largeBodies,
	"9":  truncatedStream,
	"10": crashBatches,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(couldntRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	run := cases[name]
	r, err := newRecord(path)
	if err != nil || run == nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", err)
		return couldntRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %v", name, trouble)
	f, err := newFleet(r)
	if err != nil {
		r.line("couldn't run: %v", err)
		return couldntRun
	}
	defer f.close()
	isBroken, err := run(f, trouble)
	switch {
	case err != nil:
		r.line("couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return couldntRun
	case isBroken:
		r.line("BROKEN")
		fmt.Println("broken, see", path)
		return broken
	}
	r.line("held")
	fmt.Println("held, see", path)
	return held
}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}

func (r *record) close() { _ = r.file.Close() }
