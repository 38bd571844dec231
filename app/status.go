package app

import (
	"buckthornpin/ctrl"
	"buckthornpin/oper"
	"buckthornpin/peer"
)

// replicaStatus returns the state of a replica as operators see it.
func replicaStatus(r *ctrl.Replica) *oper.ReplicaStatus {
	s := r.Status()
	return &oper.ReplicaStatus{ID: s.ID, Role: s.Role, Leader: s.Leader, Term: s.Term, Commit: s.Commit, Applied: s.Applied}
}

// endpointStatus returns the endpoints in a process's directory, as operators see
// them.
func endpointStatus(d *peer.Directory) []oper.EndpointStatus {
	var out []oper.EndpointStatus
	for _, e := range d.Endpoints() {
		out = append(out, oper.EndpointStatus{
			Endpoint: e.ID, Zone: e.Zone, Models: e.Models, Adapters: e.Adapters, Services: e.Services,
			Capacity: e.Capacity, Leaving: e.Leaving, Dead: e.Dead, Watched: !e.SeenAt.IsZero(),
		})
	}
	return out
}
