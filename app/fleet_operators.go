package app

import (
	"net/http"
	"slices"

	"buckthornpin/caller"
	"buckthornpin/oper"
)

// operators serves our own operators' interface on a control VM.
func (f *Fleet) operators() (http.Handler, error) {
	s := &oper.Server{
		Control: f.client, Site: &siteControl{client: f.client}, Line: f.events.line, Status: f.Status,
		Operator: func(hash string) bool { return slices.Contains(f.Settings.Oper.KeyHashes, hash) }, Hash: caller.Hash,
	}
	f.metrics.Set("unauthorised_operators", s.Unauthorised())
	return s.Handler()
}

// Status returns what the process says of itself.
func (f *Fleet) Status() oper.Status {
	s := oper.Status{
		VM: f.Settings.VM, Zone: f.Settings.Zone, Roles: f.Settings.Roles, Build: f.Build.Version,
		Ready: f.alive(), Draining: f.draining.Load(), Endpoints: endpointStatus(f.directory),
	}
	if f.replica != nil {
		s.Replica = replicaStatus(f.replica)
	}
	return s
}
