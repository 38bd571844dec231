package app

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"buckthornpin/stand"
)

// standinCommand runs a stand-in endpoint.
type standinCommand struct {
	*Shell
	id, zone, address, advertise, routers, models, adapters, services, secretFile string
	capacity                                                                      int
	limit                                                                         float64
	pace, pause                                                                   time.Duration
}

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string {
	return "run a stand-in endpoint: an engine or a plain service"
}

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return `standin -id ID -routers IP:PORT,... [-models NAME,...] [-services NAME,...]
Answers follow from the request alone. A request switches faults on by words in
its messages: @tokens=N @pace_ms=N @break_at=N @silent_at=N @short_at=N
@alien_at=N @repeat_at=N (first attempt only) and @crash_at=N (each attempt).
Example:
  buckthornpin standin -id engine-1 -zone kl-1 -models briefing -routers 127.0.0.1:8081
`
}

// SetFlags implements subcommands.Command.
func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.id, "id", "", "name of the endpoint")
	f.StringVar(&c.zone, "zone", "", "availability zone")
	f.StringVar(&c.address, "address", "127.0.0.1:0", "IP:PORT to serve on")
	f.StringVar(&c.advertise, "advertise", "", "IP:PORT to announce; -address if empty")
	f.StringVar(&c.routers, "routers", "", "routers to announce to")
	f.StringVar(&c.models, "models", "", "models, comma separated")
	f.StringVar(&c.adapters, "adapters", "", "adapters, comma separated")
	f.StringVar(&c.services, "services", "", "plain services, comma separated")
	f.StringVar(&c.secretFile, "secret-file", "", "file with the secret shared with routers")
	f.IntVar(&c.capacity, "capacity", 64, "requests that run at once")
	f.DurationVar(&c.pause, "pause", 0, "for how long to want no requests from a router after turning one away; 0 asks for no pause")
	f.Float64Var(&c.limit, "request-limit", 0, "requests a second to name as the limit of all routers together; 0 names none")
	f.DurationVar(&c.pace, "pace", stand.DefaultTokenInterval, "time between tokens")
}

// Execute implements subcommands.Command.
func (c *standinCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.id == "" || c.routers == "" || c.models+c.services == "" {
		_, _ = fmt.Fprint(c.Err, c.Usage())
		return ExitUsage
	}
	secret := ""
	if c.secretFile != "" {
		var err error
		if secret, err = readSecret(c.secretFile); err != nil {
			return c.fail(ExitUsage, err)
		}
	}
	l, err := net.Listen("tcp", c.address)
	if err != nil {
		return c.fail(ExitFailed, err)
	}
	e := &stand.Endpoint{
		ID: c.id, Zone: c.zone, Models: splitList(c.models), Adapters: splitList(c.adapters), Services: splitList(c.services), Capacity: c.capacity, TokenInterval: c.pace, RequestLimit: c.limit, Pause: c.pause,
		Routers: splitList(c.routers), Secret: secret, Listener: l, AdvertisedAddress: c.advertise, Crash: func() { os.Exit(int(ExitFailed)) },
	}
	_, _ = fmt.Fprintf(c.Out, "%s serves on %s\n", c.id, l.Addr())
	if err := e.Run(ctx); err != nil {
		return c.fail(ExitFailed, err)
	}
	return ExitOK
}

// splitList splits a comma separated list.
func splitList(text string) []string {
	var out []string
	for _, e := range strings.Split(text, ",") {
		if e = strings.TrimSpace(e); e != "" {
			out = append(out, e)
		}
	}
	return out
}
