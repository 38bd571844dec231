//go:build review

// Command review-stand plays the clients, the servers and the platform for the scripts
// below review/. It starts the fleet as separate processes with the commands of
// deploy/system.toml, on loopback addresses.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	engineVerb   = "engine"
	troubleIsOff = "0"
)

// cases holds the function of each case by name. It returns true if the rule was broken.
var cases = map[string]func(w *world) bool{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == engineVerb {
		runEngine(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case. A panic of the harness means that the case couldn't run.
func play(name, folder string) (code int) {
	w := newWorld(folder, os.Getenv("TROUBLE") != troubleIsOff)
	defer func() {
		if p := recover(); p != nil {
			w.record("the case couldn't run: %v", p)
			code = exitNotRun
		}
		w.stopAll()
		w.recordRuns()
		w.record("exit code %d", code)
		w.close()
	}()
	if cases[name](w) {
		return exitBroken
	}
	return exitHeld
}
