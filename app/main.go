package app

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"
)

// Exit codes of the command line.
const (
	// ExitOK means that the command has succeeded.
	ExitOK = subcommands.ExitSuccess
	// ExitFailed means that the command has failed.
	ExitFailed = subcommands.ExitFailure
	// ExitUsage means that the command line or a file is invalid.
	ExitUsage = subcommands.ExitUsageError
	// ExitRefused means that the system refused a change.
	ExitRefused = subcommands.ExitStatus(3)
)

// Shell holds what all commands share: the build and the output streams.
type Shell struct {
	Build BuildInfo
	Out   io.Writer
	Err   io.Writer
}

// Logger returns a logger that writes JSON lines to standard error. An unknown
// level selects info.
func (s *Shell) Logger(level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(s.Err).Level(l).With().Timestamp().Logger()
}

// fail reports an error and returns the exit code.
func (s *Shell) fail(code subcommands.ExitStatus, err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(s.Err, "buckthornpin: %v\n", err)
	return code
}

// Main runs the command line and returns the exit code.
func Main(build BuildInfo, args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(errOut)
	c := subcommands.NewCommander(flags, "buckthornpin")
	c.Output = out
	c.Error = errOut
	shell := &Shell{Build: build, Out: out, Err: errOut}
	registerCommands(c, shell)
	if err := flags.Parse(normalizeHelp(args[1:])); err != nil {
		return int(ExitUsage)
	}
	return int(c.Execute(ctx))
}

// normalizeHelp turns "COMMAND ... -h" into "help COMMAND", which exits 0.
func normalizeHelp(args []string) []string {
	if len(args) == 0 {
		return []string{"help"}
	}
	for _, a := range args {
		if a == "-h" || a == "-help" || a == "--help" {
			if strings.HasPrefix(args[0], "-") {
				return []string{"help"}
			}
			return []string{"help", args[0]}
		}
	}
	return args
}

func registerCommands(c *subcommands.Commander, s *Shell) {
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(c.CommandsCommand(), "")
	o := operatorCommand{Shell: s}
	c.Register(&serveCommand{Shell: s}, "processes")
	c.Register(&initCommand{Shell: s}, "processes")
	c.Register(&checkCommand{Shell: s}, "processes")
	c.Register(&applyCommand{operatorCommand: o}, "operators")
	c.Register(&orgCommand{operatorCommand: o}, "operators")
	c.Register(&topUpCommand{operatorCommand: o}, "operators")
	c.Register(&keyCommand{operatorCommand: o}, "operators")
	c.Register(&memberCommand{operatorCommand: o}, "operators")
	c.Register(&siteCommand{operatorCommand: o}, "operators")
	c.Register(&statusCommand{operatorCommand: o}, "operators")
	c.Register(&timelineCommand{operatorCommand: o}, "operators")
	c.Register(&demoCommand{Shell: s}, "developers")
	c.Register(&standinCommand{Shell: s}, "developers")
	c.Register(&loadCommand{Shell: s}, "developers")
}
