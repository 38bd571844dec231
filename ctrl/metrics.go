package ctrl

import "expvar"

// replicaMetrics counts the replica's work since it started.
type replicaMetrics struct {
	commands expvar.Int
	entries  expvar.Int
	syncs    expvar.Int
}

// Metrics returns the replica's counters.
func (r *Replica) Metrics() *expvar.Map {
	m := new(expvar.Map)
	m.Set("commands", &r.metrics.commands)
	m.Set("entries", &r.metrics.entries)
	m.Set("syncs", &r.metrics.syncs)
	return m
}
