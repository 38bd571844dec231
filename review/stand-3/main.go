//go:build review3

// Command stand-3 plays one case of the third review: it starts control replicas and routers with
// the commands of the deploy file, on loopback, and the stand-ins of the platform, its engines and
// its requesters. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't
// run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a case. The page allows 120 s.
const maxRun = 110 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	why    string
}

// cases are the cases by name.
var cases = map[string]func(s *scene) (verdict, error){
	"line-end":       lineEnd,
	"late-body":      lateBody,
	"missing-fields": missingFields,
	"agent":          agentReports,
	"other-path":     otherPath,
	// These have no folder of their own; see REPORT-3.md.
	"foreign-id":   foreignID,
	"options-star": optionsStar,
	"no-tenants":   noTenants,
	"version-zero": versionZero,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE RECORD")
		return exitNotRun
	}
	s, err := newScene(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	timeout := time.AfterFunc(maxRun, func() {
		s.note("the case took too long")
		s.close()
		os.Exit(exitNotRun)
	})
	defer timeout.Stop()
	v, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		s.note("the case couldn't run: %v", err)
		return exitNotRun
	case v.broken:
		s.note("the rule was broken: %s", v.why)
		return exitBroken
	}
	s.note("the rule held: %s", v.why)
	return exitHeld
}
