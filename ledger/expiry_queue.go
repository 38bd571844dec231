package ledger

import "buckthornpin"

// expiry is the time at which a held reservation is billed or an ended one is
// deleted, unless its end has been rescheduled.
type expiry struct {
	atMS int64
	key  buckthornpin.RequestKey
}

// expiryQueue is a heap of expiries with the earliest first.
type expiryQueue []expiry

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements heap.Interface. Equal times are ordered by key, so that every
// replica processes expiries in the same order.
func (q expiryQueue) Less(i, j int) bool {
	if q[i].atMS != q[j].atMS {
		return q[i].atMS < q[j].atMS
	}
	if q[i].key.Organisation != q[j].key.Organisation {
		return q[i].key.Organisation < q[j].key.Organisation
	}
	return q[i].key.Key < q[j].key.Key
}

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(expiry)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	old := *q
	n := len(old) - 1
	e := old[n]
	*q = old[:n]
	return e
}
