package app

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/subcommands"

	"buckthornpin"
	"buckthornpin/caller"
	"buckthornpin/oper"
	"buckthornpin/wire"
)

// applyCommand puts a configuration in force or prints the accepted versions.
type applyCommand struct {
	operatorCommand
	base    int64
	author  string
	history bool
}

// Name implements subcommands.Command.
func (*applyCommand) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*applyCommand) Synopsis() string {
	return "make a configuration the version in force, or show the history"
}

// Usage implements subcommands.Command.
func (*applyCommand) Usage() string {
	return `apply -base VERSION [-author NAME] FILE
apply -history
Accepts FILE as the version after -base. Where another version is in force by
then, it is printed and the command exits 3. A rollback is a new version with an
older content. -base -1 takes the version in force now.
Example:
  buckthornpin apply -base 4 -author mei policy.json
`
}

// SetFlags implements subcommands.Command.
func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	c.setChangeFlag(f)
	f.Int64Var(&c.base, "base", -1, "version that the change starts from; -1 is the one in force")
	f.StringVar(&c.author, "author", os.Getenv("USER"), "who makes the change")
	f.BoolVar(&c.history, "history", false, "print the accepted versions")
}

// Execute implements subcommands.Command.
func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.history {
		return c.printHistory(ctx)
	}
	path, err := oneArgument(f, "the file of the configuration")
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	if _, err := buckthornpin.DecodePolicy(string(content)); err != nil {
		return c.fail(ExitUsage, errors.Wrap(err, path))
	}
	if c.base < 0 {
		if c.base, err = c.versionInForce(ctx); err != nil {
			return c.fail(ExitFailed, err)
		}
	}
	put := &wire.PutConfiguration{BaseVersion: c.base, Content: string(content), Author: c.author}
	return c.send(ctx, &wire.Command{Op: &wire.Command_PutConfiguration{PutConfiguration: put}}, "accepted")
}

func (c *applyCommand) system(ctx context.Context, history bool) (*wire.InspectReply, error) {
	return firstAnswer(ctx, &c.operatorCommand, func(ctx context.Context, client *oper.Client) (*wire.InspectReply, error) {
		return client.System(ctx, history)
	})
}

func (c *applyCommand) versionInForce(ctx context.Context) (int64, error) {
	s, err := c.system(ctx, false)
	if err != nil || len(s.GetConfigurations()) == 0 {
		return 0, err
	}
	return s.GetConfigurations()[0].GetVersion(), nil
}

func (c *applyCommand) printHistory(ctx context.Context) subcommands.ExitStatus {
	s, err := c.system(ctx, true)
	if err != nil {
		return c.fail(ExitFailed, err)
	}
	for _, v := range s.GetConfigurations() {
		if c.json {
			c.printMessage(v)
			continue
		}
		_, _ = fmt.Fprintf(c.Out, "version %d by %q, change %s\n%s\n", v.GetVersion(), v.GetAuthor(), v.GetChange(), strings.TrimSpace(v.GetContent()))
	}
	return ExitOK
}

// orgCommand creates an organisation or changes the services it may call.
type orgCommand struct {
	operatorCommand
	services string
}

// Name implements subcommands.Command.
func (*orgCommand) Name() string { return "org" }

// Synopsis implements subcommands.Command.
func (*orgCommand) Synopsis() string { return "create an organisation or change its services" }

// Usage implements subcommands.Command.
func (*orgCommand) Usage() string {
	return `org [-services NAME,...] ORGANISATION
Creates the organisation, or sets the models and plain services it may call;
without -services it may call all.
Example:
  buckthornpin org -services briefing,buoys kuantan-fleet
`
}

// SetFlags implements subcommands.Command.
func (c *orgCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	c.setChangeFlag(f)
	f.StringVar(&c.services, "services", "", "models and plain services, comma separated")
}

// Execute implements subcommands.Command.
func (c *orgCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name, err := oneArgument(f, "the organisation")
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	put := &wire.PutOrganisation{Organisation: name}
	if c.services != "" {
		put.Services = strings.Split(c.services, ",")
	}
	return c.send(ctx, &wire.Command{Op: &wire.Command_PutOrganisation{PutOrganisation: put}}, "organisation "+name+" is set")
}

// topUpCommand adds tokens to a budget.
type topUpCommand struct {
	operatorCommand
}

// Name implements subcommands.Command.
func (*topUpCommand) Name() string { return "topup" }

// Synopsis implements subcommands.Command.
func (*topUpCommand) Synopsis() string { return "add prepaid tokens to an organisation's budget" }

// Usage implements subcommands.Command.
func (*topUpCommand) Usage() string {
	return `topup [-change ID] ORGANISATION TOKENS
Adds TOKENS once: a top-up whose reply was lost is sent again with the same
-change, which the error message names.
Example:
  buckthornpin topup -change invoice-2041 kuantan-fleet 2000000
`
}

// SetFlags implements subcommands.Command.
func (c *topUpCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	c.setChangeFlag(f)
}

// Execute implements subcommands.Command.
func (c *topUpCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		return c.fail(ExitUsage, errors.New("topup: expected two arguments: the organisation and the tokens"))
	}
	tokens, err := strconv.ParseInt(f.Arg(1), 10, 64)
	if err != nil || tokens <= 0 {
		return c.fail(ExitUsage, errors.Errorf("tokens: %q: expected a number above 0", f.Arg(1)))
	}
	up := &wire.TopUp{Organisation: f.Arg(0), Tokens: tokens}
	return c.send(ctx, &wire.Command{Op: &wire.Command_TopUp{TopUp: up}}, fmt.Sprintf("added %d tokens to %s", tokens, f.Arg(0)))
}

// keyCommand creates and revokes the keys of callers and operators.
type keyCommand struct {
	operatorCommand
	organisation string
	operator     bool
	offline      bool
	revoke       string
}

// Name implements subcommands.Command.
func (*keyCommand) Name() string { return "key" }

// Synopsis implements subcommands.Command.
func (*keyCommand) Synopsis() string { return "make, rotate and revoke callers' and operators' keys" }

// Usage implements subcommands.Command.
func (*keyCommand) Usage() string {
	return `key -organisation NAME | -operator [-offline]
key -revoke HASH [-organisation NAME]
Makes a key, stores its hash and prints the key; the key itself is stored
nowhere. To rotate, make a new key, hand it out, and revoke the old one's hash.
-offline makes an operator's key without a running system and prints its hash
for the setting oper.key_hashes.
Example:
  buckthornpin key -operator -offline
  buckthornpin key -organisation kuantan-fleet
  buckthornpin key -organisation kuantan-fleet -revoke 5f2c...
`
}

// SetFlags implements subcommands.Command.
func (c *keyCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	c.setChangeFlag(f)
	f.StringVar(&c.organisation, "organisation", "", "organisation of the caller's key")
	f.BoolVar(&c.operator, "operator", false, "make an operator's key")
	f.BoolVar(&c.offline, "offline", false, "store nothing; print key and hash")
	f.StringVar(&c.revoke, "revoke", "", "hash of the key to revoke")
}

// newKey is the output for a new key. The key itself is printed once and never
// stored.
type newKey struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

// Execute implements subcommands.Command.
func (c *keyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.revoke != "" {
		put := &wire.PutKey{Hash: c.revoke, Organisation: c.organisation, Revoked: true}
		return c.send(ctx, &wire.Command{Op: &wire.Command_PutKey{PutKey: put}}, "revoked")
	}
	if (c.organisation == "") != c.operator {
		return c.fail(ExitUsage, errors.New("key: expected either -organisation NAME or -operator"))
	}
	k := newKey{Key: randomKey()}
	k.Hash = caller.HashKey(k.Key)
	if !c.offline {
		put := &wire.PutKey{Hash: k.Hash, Organisation: c.organisation}
		stderrCommand := c.operatorCommand
		stderrCommand.Shell = &Shell{Build: c.Build, Out: c.Err, Err: c.Err}
		if code := stderrCommand.send(ctx, &wire.Command{Op: &wire.Command_PutKey{PutKey: put}}, "stored the key's hash"); code != ExitOK {
			return code
		}
	}
	if c.json {
		c.printJSON(k)
		return ExitOK
	}
	_, _ = fmt.Fprintf(c.Out, "key:  %s\nhash: %s\n", k.Key, k.Hash)
	return ExitOK
}
