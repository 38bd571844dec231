package app

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/google/subcommands"

	"buckthornpin"
	"buckthornpin/ctrl"
	"buckthornpin/event"
	"buckthornpin/oper"
	"buckthornpin/wire"
)

// statusCommand shows the state of the system.
type statusCommand struct {
	operatorCommand
}

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string {
	return "show budgets, and of each process its version, endpoints and drain state"
}

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return `status [-url URL,...] [-json]
Asks each process that -url names, and all registered routers.
Example:
  buckthornpin status -url http://10.0.0.1:8084,http://10.0.0.2:8084
`
}

// systemStatus is the output of the status command.
type systemStatus struct {
	Organisations []*wire.OrganisationState `json:"organisations"`
	Members       []*wire.Member            `json:"members"`
	Processes     []processStatus           `json:"processes"`
}

type processStatus struct {
	URL     string       `json:"url"`
	Status  *oper.Status `json:"status,omitempty"`
	Problem string       `json:"problem,omitempty"`
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	system, err := firstAnswer(ctx, &c.operatorCommand, func(ctx context.Context, client *oper.Client) (*wire.InspectReply, error) {
		return client.System(ctx, false)
	})
	if err != nil {
		_, _ = fmt.Fprintf(c.Err, "control: %v\n", err)
		system = &wire.InspectReply{}
	}
	clients, clientsErr := c.allProcessClients(system)
	if clientsErr != nil {
		return c.fail(ExitUsage, clientsErr)
	}
	out := systemStatus{Organisations: system.GetOrganisations(), Members: system.GetMembers().GetMembers()}
	for _, client := range clients {
		out.Processes = append(out.Processes, askStatus(ctx, client))
	}
	c.print(out)
	if err != nil {
		return ExitFailed
	}
	return ExitOK
}

// allProcessClients returns clients of the processes that -url names and of the
// registered routers.
func (c *operatorCommand) allProcessClients(system *wire.InspectReply) ([]*oper.Client, error) {
	clients, err := c.clients()
	if err != nil {
		return nil, err
	}
	scheme := "http://"
	if c.tls.ca != "" {
		scheme = "https://"
	}
	for _, r := range system.GetRouters() {
		u := scheme + r.GetOperAddress()
		if !slices.ContainsFunc(clients, func(k *oper.Client) bool { return k.URL == u }) {
			clients = append(clients, &oper.Client{HTTP: clients[0].HTTP, URL: u, Key: clients[0].Key})
		}
	}
	return clients, nil
}

func askStatus(ctx context.Context, client *oper.Client) processStatus {
	s, err := client.Status(ctx)
	if err != nil {
		return processStatus{URL: client.URL, Problem: err.Error()}
	}
	return processStatus{URL: client.URL, Status: &s}
}

func (c *statusCommand) print(s systemStatus) {
	if c.json {
		c.printJSON(s)
		return
	}
	t := tabwriter.NewWriter(c.Out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "organisation\tpaid\tsettled\theld\tleased\tfree")
	for _, o := range s.Organisations {
		free := o.GetPaid() - o.GetSettled() - o.GetHeld() - o.GetLeased()
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\n", o.GetOrganisation(), o.GetPaid(), o.GetSettled(), o.GetHeld(), o.GetLeased(), free)
	}
	_, _ = fmt.Fprintln(t, "\nvm\tzone\troles\tready\tdraining\tversion\tin progress\tendpoints\treplica")
	for _, p := range s.Processes {
		if p.Status == nil {
			_, _ = fmt.Fprintf(t, "%s\t%s\n", p.URL, p.Problem)
			continue
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%v\t%v\t%v\t%d\t%d\t%d\t%s\n", p.Status.VM, p.Status.Zone, p.Status.Roles,
			p.Status.Ready, p.Status.Draining, p.Status.Version, p.Status.Requests, len(p.Status.Endpoints), replicaText(p.Status.Replica))
	}
	_ = t.Flush()
}

func replicaText(r *oper.ReplicaStatus) string {
	if r == nil {
		return "-"
	}
	return fmt.Sprintf("%s, term %d, applied %d", r.Role, r.Term, r.Applied)
}

// timelineCommand shows the merged events of all processes.
type timelineCommand struct {
	operatorCommand
	filter event.Filter
}

// Name implements subcommands.Command.
func (*timelineCommand) Name() string { return "timeline" }

// Synopsis implements subcommands.Command.
func (*timelineCommand) Synopsis() string { return "show the events of all processes in causal order" }

// Usage implements subcommands.Command.
func (*timelineCommand) Usage() string {
	return `timeline [-request KEY] [-organisation NAME] [-vm VM] [-json]
Merges the events of the processes that -url names and of all registered
routers. With -json it prints JSON lines.
Example:
  buckthornpin timeline -organisation kuantan-fleet -request brief-2041
`
}

// SetFlags implements subcommands.Command.
func (c *timelineCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	f.StringVar(&c.filter.Request, "request", "", "only events of this request or change")
	f.StringVar(&c.filter.Organisation, "organisation", "", "only events of this organisation")
	f.StringVar(&c.filter.VM, "vm", "", "only events of this VM")
}

// Execute implements subcommands.Command.
func (c *timelineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	system, err := firstAnswer(ctx, &c.operatorCommand, func(ctx context.Context, client *oper.Client) (*wire.InspectReply, error) {
		return client.System(ctx, false)
	})
	if err != nil {
		system = &wire.InspectReply{}
	}
	clients, err := c.allProcessClients(system)
	if err != nil {
		return c.fail(ExitUsage, err)
	}
	var timelines [][]buckthornpin.Event
	for _, client := range clients {
		events, err := client.Timeline(ctx, c.filter)
		if err != nil {
			_, _ = fmt.Fprintf(c.Err, "%s: %v\n", client.URL, err)
			continue
		}
		timelines = append(timelines, events)
	}
	if len(timelines) == 0 {
		return ExitFailed
	}
	for _, e := range event.Merge(timelines...) {
		if c.json {
			c.printJSON(e)
		}
	}
	if !c.json {
		_ = printTimeline(c.Out, event.Merge(timelines...))
	}
	return ExitOK
}

// memberCommand changes the members of the control group.
type memberCommand struct {
	operatorCommand
}

// Name implements subcommands.Command.
func (*memberCommand) Name() string { return "member" }

// Synopsis implements subcommands.Command.
func (*memberCommand) Synopsis() string { return "add, remove or list control replicas" }

// Usage implements subcommands.Command.
func (*memberCommand) Usage() string {
	return `member list | add ID IP:PORT | remove ID
An added replica learns the log first and votes once it holds all of it. To
replace a lost replica: remove it, add one with a new ID, run "buckthornpin init
-join" on its VM and start it; wait until "list" shows no learner before the
next change.
Example:
  buckthornpin member add vm-2b 10.0.0.2:8083
`
}

// SetFlags implements subcommands.Command.
func (c *memberCommand) SetFlags(f *flag.FlagSet) { c.operatorCommand.SetFlags(f) }

// Execute implements subcommands.Command.
func (c *memberCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	r := &wire.ChangeMembersRequest{}
	switch {
	case f.NArg() == 1 && f.Arg(0) == "list":
		return c.list(ctx)
	case f.NArg() == 3 && f.Arg(0) == "add":
		r.Add = &wire.Member{Id: f.Arg(1), Address: f.Arg(2)}
	case f.NArg() == 2 && f.Arg(0) == "remove":
		r.Remove = f.Arg(1)
	default:
		_, _ = fmt.Fprint(c.Err, c.Usage())
		return ExitUsage
	}
	reply, err := firstAnswer(ctx, &c.operatorCommand, func(ctx context.Context, client *oper.Client) (*wire.ChangeMembersReply, error) {
		return client.ChangeMembers(ctx, r)
	})
	if err != nil {
		return c.fail(ExitRefused, err)
	}
	c.printMembers(reply.GetMembers())
	return ExitOK
}

func (c *memberCommand) list(ctx context.Context) subcommands.ExitStatus {
	s, err := firstAnswer(ctx, &c.operatorCommand, func(ctx context.Context, client *oper.Client) (*wire.InspectReply, error) {
		return client.System(ctx, false)
	})
	if err != nil {
		return c.fail(ExitFailed, err)
	}
	c.printMembers(s.GetMembers())
	return ExitOK
}

func (c *memberCommand) printMembers(m *wire.Members) {
	if c.json {
		c.printMessage(m)
		return
	}
	for _, e := range m.GetMembers() {
		role := "voter"
		switch {
		case e.GetLearner():
			role = ctrl.RoleLearner
		case e.GetJoining():
			role = ctrl.RoleJoining
		case e.GetLeaving():
			role = "leaving"
		}
		_, _ = fmt.Fprintf(c.Out, "%s\t%s\t%s\n", e.GetId(), e.GetAddress(), role)
	}
}
