package app

import (
	"net/http"
	"slices"

	"buckthornpin/caller"
	"buckthornpin/oper"
)

// operatorsHandler returns the handler of this project's own operators'
// interface, which control replicas serve.
func (p *PlatformProcess) operatorsHandler() (http.Handler, error) {
	s := &oper.Server{
		Control: p.client, Site: &siteControl{client: p.client}, Timeline: p.events.timeline, Status: p.Status,
		IsOperatorKey: func(hash string) bool { return slices.Contains(p.Settings.Operator.KeyHashes, hash) }, HashKey: caller.HashKey,
	}
	p.metrics.Set("unauthorised_operators", s.Unauthorised())
	return s.Handler()
}

// Status returns the state of the process as operators see it.
func (p *PlatformProcess) Status() oper.Status {
	s := oper.Status{
		VM: p.Settings.VM, Zone: p.Settings.Zone, Roles: p.Settings.Roles, Build: p.Build.Version,
		Ready: p.processReady(), Draining: p.draining.Load(), Endpoints: endpointStatus(p.directory),
	}
	if p.replica != nil {
		s.Replica = replicaStatus(p.replica)
	}
	return s
}
