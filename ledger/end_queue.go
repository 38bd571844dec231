package ledger

import "buckthornpin"

// end is the time at which a reservation changes its phase by itself.
type end struct {
	atMS int64
	key  buckthornpin.RequestKey
}

// endQueue is a heap of ends, the earliest first.
type endQueue []end

// Len implements heap.Interface.
func (q endQueue) Len() int { return len(q) }

// Less implements heap.Interface. Equal times are ordered by key, so that each
// replica ends reservations in the same order.
func (q endQueue) Less(i, j int) bool {
	if q[i].atMS != q[j].atMS {
		return q[i].atMS < q[j].atMS
	}
	if q[i].key.Organisation != q[j].key.Organisation {
		return q[i].key.Organisation < q[j].key.Organisation
	}
	return q[i].key.Key < q[j].key.Key
}

// Swap implements heap.Interface.
func (q endQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *endQueue) Push(x any) { *q = append(*q, x.(end)) }

// Pop implements heap.Interface.
func (q *endQueue) Pop() any {
	old := *q
	n := len(old) - 1
	e := old[n]
	*q = old[:n]
	return e
}
