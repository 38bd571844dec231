package app

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// demoCommand runs the demonstration.
type demoCommand struct {
	*Shell
	json  bool
	level string
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string {
	return "run a whole site in one process and check its answers and its bill"
}

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return `demo [-json] [-log LEVEL]
Runs control, two routers, stand-in engines and a plain service on loopback,
sends requests, and prints the answers, the bill and the time line.
Exits 0 only if each answer was whole and billed once.
Example:
  buckthornpin demo
  buckthornpin demo -json | jq .settled
`
}

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.StringVar(&c.level, "log", "error", "log level")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	d := &Demo{Out: c.Out, Log: c.Logger(c.level), Build: c.Build, JSON: c.json}
	if err := d.Run(ctx); err != nil {
		return c.fail(ExitFailed, err)
	}
	return ExitOK
}
