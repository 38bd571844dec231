package app

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"buckthornpin/oper"
	"buckthornpin/site"
)

// siteCommand puts, shows and checks a site's routes, services and organisations.
type siteCommand struct {
	operatorCommand
}

// Name implements subcommands.Command.
func (*siteCommand) Name() string { return "site" }

// Synopsis implements subcommands.Command.
func (*siteCommand) Synopsis() string {
	return "put, show or check a site's routes, services and organisations"
}

// Usage implements subcommands.Command.
func (*siteCommand) Usage() string {
	return `site put FILE
site show
site check FILE
Puts FILE in force if its version is the highest; an equal or lower one is
acknowledged and changes nothing, and the version in force is printed. check names
all problems of FILE without asking anyone.
Example:
  buckthornpin site put examples/site/kingston.json
`
}

// Execute implements subcommands.Command.
func (c *siteCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	switch {
	case f.NArg() == 2 && f.Arg(0) == "put":
		return c.put(ctx, f.Arg(1))
	case f.NArg() == 2 && f.Arg(0) == "check":
		return c.check(f.Arg(1))
	case f.NArg() == 1 && f.Arg(0) == "show":
		return c.show(ctx)
	}
	return c.fail(ExitUsage, &Error{Op: "site", Kind: KindUsage, Err: errors.New("expected put FILE, show or check FILE")})
}

func (c *siteCommand) check(path string) subcommands.ExitStatus {
	s, err := readSiteFile(path)
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	_, _ = fmt.Fprintf(c.Out, "version %d is good: %d routes, %d services, %d organisations\n", s.Version, len(s.Routes), len(s.Services), len(s.Organisations))
	return ExitOK
}

func (c *siteCommand) put(ctx context.Context, path string) subcommands.ExitStatus {
	s, err := readSiteFile(path)
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	version, err := firstAnswer(ctx, &c.operatorCommand, func(ctx context.Context, client *oper.Client) (int64, error) { return client.PutSite(ctx, s) })
	if err != nil {
		return c.fail(ExitFailed, err)
	}
	if c.json {
		c.printJSON(oper.SiteResult{Version: version})
		return ExitOK
	}
	_, _ = fmt.Fprintf(c.Out, "version %d is in force\n", version)
	return ExitOK
}

func (c *siteCommand) show(ctx context.Context) subcommands.ExitStatus {
	s, err := firstAnswer(ctx, &c.operatorCommand, func(ctx context.Context, client *oper.Client) (site.Configuration, error) {
		return client.ReadSite(ctx)
	})
	if err != nil {
		return c.fail(ExitFailed, err)
	}
	return c.printIndented(s)
}

func readSiteFile(path string) (site.Configuration, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return site.Configuration{}, &Error{Op: "read", Kind: KindUsage, Err: err}
	}
	c, err := site.Decode(document)
	if err == nil {
		err = c.CheckNames()
	}
	return c, err
}
