package buckthornpin

import "time"

// Cover is the outcome of a reservation.
type Cover int

const (
	// Covered requests may run.
	Covered Cover = iota
	// CoveredElsewhere says that other processes may hold what lacks here.
	CoveredElsewhere
	// BudgetSpent says that the whole budget doesn't cover the request.
	BudgetSpent
)

// Covering is the outcome of a reservation and what it was decided on.
type Covering struct {
	Cover Cover
	// Balance is what this router held, Others what other routers had told to hold,
	// and Free what control had said that no router holds, in tokens.
	Balance, Others, Free int64
	// ControlAge is the time since control answered last.
	ControlAge time.Duration
}
