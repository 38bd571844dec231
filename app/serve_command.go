package app

import (
	"context"
	"flag"
	"log"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"buckthornpin/config"
	platf "buckthornpin/platform"
)

// settingsFlags holds the paths of the settings files.
type settingsFlags struct {
	files string
}

func (s *settingsFlags) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.files, "config", "", "settings: the base file and its overlays, comma separated")
}

func (s *settingsFlags) load() (config.Settings, error) {
	var paths []string
	for _, p := range strings.Split(s.files, ",") {
		if p = strings.TrimSpace(p); p != "" {
			paths = append(paths, p)
		}
	}
	return config.Load(paths...)
}

// serveCommand runs a router, a control replica, or both.
type serveCommand struct {
	*Shell
	settingsFlags
	platform bool
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	c.settingsFlags.SetFlags(f)
	f.BoolVar(&c.platform, "platform", false, "read the settings file that the platform names in "+platf.SettingsVariable)
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run a router, a control replica, or both" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return `serve -config BASE[,OVERLAY...]
Runs the roles that the settings name until SIGINT or SIGTERM, then stops
gracefully: no request in progress is cut off. Logs are JSON lines, on stderr or,
on the users' platform, on stdout.
Example:
  buckthornpin serve -config base.json,kl.json,vm-1.json
`
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.platform {
		c.files = os.Getenv(platf.SettingsVariable)
	}
	s, err := c.load()
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	if s.Platform.Enabled {
		return c.servePlatformProcess(ctx, s)
	}
	p := &Process{Settings: s, Build: c.Build, Log: c.Logger(s.Log.Level)}
	if err := p.Open(); err != nil {
		return c.fail(ExitFailed, err)
	}
	if err := p.Run(ctx); err != nil {
		return c.fail(ExitFailed, err)
	}
	return ExitOK
}

// servePlatformProcess runs a process on the hosting platform. Its log goes to
// standard output and never blocks: lines that can't be written in time are
// counted and dropped.
func (c *serveCommand) servePlatformProcess(ctx context.Context, s config.Settings) subcommands.ExitStatus {
	out, closeLog := nonBlockingWriter(c.Out)
	defer closeLog()
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	p := &PlatformProcess{
		Settings: s, Build: c.Build, Log: zerolog.New(out).Level(level).With().Timestamp().Logger(),
		Reload: c.load, Reloads: watchSettings(ctx, c.files),
	}
	log.SetFlags(0)
	log.SetOutput(p.Log.With().Str("level", zerolog.LevelDebugValue).Str("source", "net/http").Logger())
	if err := p.Open(); err != nil {
		p.Log.Error().Err(err).Msg("process can't start")
		return ExitFailed
	}
	if err := p.Run(ctx); err != nil {
		p.Log.Error().Err(err).Msg("process has failed")
		return ExitFailed
	}
	return ExitOK
}

// checkCommand checks settings.
type checkCommand struct {
	*Shell
	settingsFlags
	json bool
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check settings and print them with all defaults" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return `check -config BASE[,OVERLAY...] [-json]
Reports all problems at once, each with its field, its value and what was
expected, and exits 2. Settings without a problem are printed with -json.
Example:
  buckthornpin check -config base.json,kl.json,vm-1.json
`
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	c.settingsFlags.SetFlags(f)
	f.BoolVar(&c.json, "json", false, "print the settings in force")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := c.load()
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	if c.json {
		return c.printIndented(s)
	}
	_, _ = c.Out.Write([]byte("settings are good\n"))
	return ExitOK
}
