package app

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// loadCommand sends requests at a mean rate and reports their latencies and
// outcomes.
type loadCommand struct {
	*Shell
	load    Load
	urls    string
	keyFile string
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string {
	return "send open-loop load and report latencies and outcomes as JSON"
}

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return `load -urls URL,... -key-file FILE -model NAME [-rate N] [-for DURATION] [-seed N]
Requests start at random times of the given mean rate, whether or not earlier
ones have ended. Each answer of a stand-in is checked byte for byte.
Example:
  buckthornpin load -urls http://127.0.0.1:8080 -key-file caller.key -model briefing -rate 50 -for 10s
`
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.urls, "urls", "", "base URLs of routers, comma separated, used in turn")
	f.StringVar(&c.keyFile, "key-file", "", "file with the caller's key")
	f.StringVar(&c.load.Model, "model", demoModel, "model to ask")
	f.Float64Var(&c.load.Rate, "rate", 10, "requests per second")
	f.DurationVar(&c.load.Duration, "for", defaultLoadDuration, "how long requests start")
	f.Int64Var(&c.load.Seed, "seed", 1, "seed of arrival times and contents")
	f.IntVar(&c.load.Tokens, "tokens", 50, "output tokens of each answer")
	f.DurationVar(&c.load.Pace, "pace", 0, "stand-in's time between tokens; 0 is its own")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	key, err := readSecret(c.keyFile)
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	c.load.Key = key
	c.load.URLs = splitList(c.urls)
	if len(c.load.URLs) == 0 || c.load.Rate <= 0 {
		return c.fail(ExitUsage, &Error{Op: "load: expected -urls and a -rate above 0", Kind: KindUsage})
	}
	report := c.load.Run(ctx)
	code := c.printIndented(report)
	if report.Whole != report.Sent {
		return ExitFailed
	}
	return code
}
