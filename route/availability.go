package route

import (
	"strconv"
	"strings"
	"time"

	"buckthornpin"
)

// Obstacle is why a router sends an endpoint no request.
type Obstacle uint8

// Obstacles, in the order in which they are looked for.
const (
	// NoObstacle means that the endpoint may get a request.
	NoObstacle Obstacle = iota
	// ObstacleLeaving means that the endpoint takes no new work in this incarnation.
	ObstacleLeaving
	// ObstacleDenied means that an operator has denied the endpoint.
	ObstacleDenied
	// ObstaclePaused means that the endpoint wants no requests from this router for a time.
	ObstaclePaused
	// ObstacleTried means that the request was sent to the endpoint before.
	ObstacleTried
	// ObstacleSilent means that the endpoint's announcements have ceased.
	ObstacleSilent
	// ObstacleFailing means that the endpoint's circuit breaker is open.
	ObstacleFailing
	// ObstacleLimited means that this router's share of the endpoint's limit is used up.
	ObstacleLimited
	// ObstacleFull means that the endpoint has as many requests of this router as it may.
	ObstacleFull

	obstacleCount
)

var obstacleNames = [obstacleCount]string{"none", "leaving", "denied", "paused", "tried", "silent", "failing", "limited", "full"}

// String returns the name of the obstacle in logs.
func (o Obstacle) String() string { return obstacleNames[o] }

// UnknownWait is the LimitWait of a router that has no share of an endpoint's limit.
const UnknownWait time.Duration = -1

// Signals are what one router knows of an endpoint that may keep a request from it.
type Signals struct {
	Endpoint *buckthornpin.Endpoint
	// Denied, Tried and Full are set if those obstacles exist.
	Denied, Tried, Full bool
	// TakeSilent is set if the request may go to an endpoint whose announcements have ceased.
	TakeSilent bool
	// PausedUntil and FailingUntil are when these obstacles end; zero if they don't exist.
	PausedUntil, FailingUntil time.Time
	// LimitWait is how long the endpoint's limit keeps requests of this router away; 0 if it
	// doesn't.
	LimitWait time.Duration
}

// Availability tells whether an endpoint may get a request, and if not, why and until when.
type Availability struct {
	Obstacle Obstacle
	// Until is when the obstacle ends; zero if that isn't known.
	Until time.Time
}

// Availability decides whether the endpoint may get a request now.
func (s *Signals) Availability(now time.Time) Availability {
	switch {
	case s.Endpoint.Leaving:
		return Availability{Obstacle: ObstacleLeaving}
	case s.Denied:
		return Availability{Obstacle: ObstacleDenied}
	case now.Before(s.PausedUntil):
		return Availability{Obstacle: ObstaclePaused, Until: s.PausedUntil}
	case s.Tried:
		return Availability{Obstacle: ObstacleTried}
	case s.Endpoint.Dead && !s.TakeSilent:
		return Availability{Obstacle: ObstacleSilent}
	case now.Before(s.FailingUntil):
		return Availability{Obstacle: ObstacleFailing, Until: s.FailingUntil}
	case s.LimitWait == UnknownWait:
		return Availability{Obstacle: ObstacleLimited}
	case s.LimitWait > 0:
		return Availability{Obstacle: ObstacleLimited, Until: now.Add(s.LimitWait)}
	case s.Full:
		return Availability{Obstacle: ObstacleFull}
	}
	return Availability{}
}

// Obstacles counts the endpoints that a request wasn't sent to, by the reason.
type Obstacles struct {
	counts [obstacleCount]int
	// FirstEnd is when the first of the obstacles ends; zero if that isn't known.
	FirstEnd time.Time
}

func (o *Obstacles) add(a Availability) {
	o.counts[a.Obstacle]++
	if !a.Until.IsZero() && (o.FirstEnd.IsZero() || a.Until.Before(o.FirstEnd)) {
		o.FirstEnd = a.Until
	}
}

// Count returns the number of endpoints with an obstacle.
func (o *Obstacles) Count(k Obstacle) int { return o.counts[k] }

// String lists the obstacles with their counts, such as "leaving 1, full 3"; "" if there are none.
func (o *Obstacles) String() string {
	var out []string
	for k := ObstacleLeaving; k < obstacleCount; k++ {
		if n := o.counts[k]; n > 0 {
			out = append(out, k.String()+" "+strconv.Itoa(n))
		}
	}
	return strings.Join(out, ", ")
}
