package buckthornpin

import "time"

// Coverage states whether a budget covers a request.
type Coverage int

const (
	// Covered says that the tokens are reserved and the request may run.
	Covered Coverage = iota
	// MaybeCoveredElsewhere says that this router holds too few tokens, but other
	// processes may hold the missing ones.
	MaybeCoveredElsewhere
	// BudgetSpent says that even the whole budget doesn't cover the request.
	BudgetSpent
	// InvalidBound says that the tokens to reserve aren't a token count. Nothing is reserved.
	InvalidBound
)

// ReservationResult is the result of trying to reserve tokens, with the figures on
// which the decision was based.
type ReservationResult struct {
	Coverage Coverage
	// Balance is the number of tokens that this router held. OtherBalances is the
	// number that the other routers last reported to hold. Free is the number that
	// no router held according to the last reply of the control group.
	Balance, OtherBalances, Free int64
	// Total is the prepaid total and Spent the part of it that is reported as spent.
	// Unaccounted is what is neither spent nor free nor held by a living router: tokens
	// reserved for requests in progress, on their way between routers, or lost with
	// routers that have ended.
	Total, Spent, Unaccounted int64
	// ControlAge is the time since the last reply of the control group.
	ControlAge time.Duration
}
