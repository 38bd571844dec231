package app

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"buckthornpin/ctrl"
	"buckthornpin/wire"
)

// printIndented prints a value as indented JSON.
func (s *Shell) printIndented(v any) subcommands.ExitStatus {
	e := json.NewEncoder(s.Out)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return s.fail(ExitFailed, err)
	}
	return ExitOK
}

// initCommand creates the data folder of a control replica.
type initCommand struct {
	*Shell
	settingsFlags
	replica string
	members string
	join    bool
}

// Name implements subcommands.Command.
func (*initCommand) Name() string { return "init" }

// Synopsis implements subcommands.Command.
func (*initCommand) Synopsis() string { return "make the data folder of a control replica, once" }

// Usage implements subcommands.Command.
func (*initCommand) Usage() string {
	return `init -config BASE[,OVERLAY...] -members ID=IP:PORT,... [-replica ID]
init -config BASE[,OVERLAY...] -join -replica ID
The first form starts a new group: run it once on each VM of the group, with the
same -members. The second one makes a replacement that joins a group, after
"buckthornpin member add"; its ID must be a new one: a replica whose disk was
lost never comes back under its old ID.
Example:
  buckthornpin init -config base.json,vm-1.json -members vm-1=10.0.0.1:8083,vm-2=10.0.0.2:8083,vm-3=10.0.0.3:8083
  buckthornpin init -config base.json,vm-2.json -join -replica vm-2b
`
}

// SetFlags implements subcommands.Command.
func (c *initCommand) SetFlags(f *flag.FlagSet) {
	c.settingsFlags.SetFlags(f)
	f.StringVar(&c.replica, "replica", "", "ID of the replica; the VM's name if empty")
	f.StringVar(&c.members, "members", "", "the group's first members")
	f.BoolVar(&c.join, "join", false, "join a group that exists")
}

// Execute implements subcommands.Command.
func (c *initCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := c.load()
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	if c.replica == "" {
		c.replica = s.VM
	}
	members, err := c.firstMembers()
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	if err := ctrl.InitFolder(s.Control.DataDir, c.replica, members); err != nil {
		return c.fail(ExitFailed, err)
	}
	_, _ = fmt.Fprintf(c.Out, "%s is the folder of replica %s\n", s.Control.DataDir, c.replica)
	return ExitOK
}

func (c *initCommand) firstMembers() (*wire.Members, error) {
	out := &wire.Members{}
	if c.join {
		return out, nil
	}
	for _, m := range strings.Split(c.members, ",") {
		id, address, ok := strings.Cut(strings.TrimSpace(m), "=")
		if !ok {
			return nil, &Error{Op: "init", Kind: KindUsage, Err: errors.Errorf("-members: %q: expected ID=IP:PORT", m)}
		}
		out.Members = append(out.Members, &wire.Member{Id: id, Address: address})
	}
	return out, nil
}
