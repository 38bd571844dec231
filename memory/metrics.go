package memory

import "expvar"

// Usage is the state of an account. All sizes are in bytes.
type Usage struct {
	// Size is the account's bound; 0 is none.
	Size int64 `json:"size"`
	// Held is the room that is taken, Peak the most that was taken at a time.
	Held int64 `json:"held"`
	Peak int64 `json:"peak"`
	// Uses is the room that is taken, by use.
	Uses map[string]int64 `json:"uses"`
	// Large is the room of large bodies, Spare that of bodies that can be dropped.
	Large int64 `json:"large"`
	Spare int64 `json:"spare"`
	// Owners is the number of organisations with requests.
	Owners int `json:"owners"`
	// Refused counts the takers that found no room, Dropped the spare bodies that were dropped.
	Refused int64 `json:"refused"`
	Dropped int64 `json:"dropped"`
}

// Usage returns the state of the account.
func (a *Account) Usage() Usage {
	if a == nil {
		return Usage{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	uses := map[string]int64{}
	for u, n := range a.used {
		uses[Use(u).String()] = n
	}
	return Usage{
		Size: a.Size, Held: a.held, Peak: a.peak, Uses: uses, Large: a.owned.large, Spare: a.owned.spare,
		Owners: len(a.owners), Refused: a.refused, Dropped: a.dropped,
	}
}

// Metrics returns the state of the account as a variable.
func (a *Account) Metrics() expvar.Var { return expvar.Func(func() any { return a.Usage() }) }
