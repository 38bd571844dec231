package buckthornpin

import (
	"slices"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// Endpoint describes a model engine or a plain service as it was last announced.
// It is immutable; the With methods return changed copies.
type Endpoint struct {
	ID string
	// Address is IP:PORT.
	Address string
	Zone    string
	Models  []string
	// Adapters are the adapters that an engine has loaded.
	Adapters []string
	Services []string
	// Capacity is the number of requests that the endpoint runs at once.
	Capacity int
	// Incarnation rises with each start of the endpoint, Sequence with each
	// announcement.
	Incarnation int64
	Sequence    int64
	// Version is the version of the endpoint's software and models, as it names them;
	// empty if it doesn't.
	Version string
	// Leaving says that the endpoint takes no new work.
	Leaving bool
	// Dead says that a router which received the endpoint's announcements has
	// had none for too long.
	Dead bool
	// SeenAt is when this process last received an announcement; zero if only
	// other routers receive the endpoint's announcements.
	SeenAt time.Time
}

// MaxVersionBytes is the length of the longest Version that Check accepts. It holds the
// versions of an endpoint's software and of all its models.
const MaxVersionBytes = 4096

// Check returns an error if a name that the endpoint has announced can't be written and
// read back unchanged, see CheckName. Such an endpoint must not be stored: requests to it
// could be cut at its name, and a message that names it couldn't be encoded. The zone and
// the version may be empty, and the address if all that is known is that the endpoint left.
func (e Endpoint) Check() error {
	if err := CheckName(e.ID); err != nil {
		return errors.Wrap(err, "id")
	}
	if err := CheckName(e.Address); e.Address != "" && err != nil {
		return errors.Wrap(err, "address")
	}
	if err := CheckName(e.Zone); e.Zone != "" && err != nil {
		return errors.Wrap(err, "zone")
	}
	if !utf8.ValidString(e.Version) || len(e.Version) > MaxVersionBytes {
		return errors.Errorf("version: expected at most %d bytes of UTF-8", MaxVersionBytes)
	}
	for _, names := range [][]string{e.Services, e.Models, e.Adapters} {
		for _, name := range names {
			if err := CheckName(name); err != nil {
				return errors.Wrap(err, "services, models, adapters")
			}
		}
	}
	return nil
}

// WithDead returns a copy that is marked as dead, or as alive again.
func (e Endpoint) WithDead(dead bool) Endpoint {
	e.Dead = dead
	return e
}

// WithLeaving returns a copy that is marked as taking no new work.
func (e Endpoint) WithLeaving() Endpoint {
	e.Leaving = true
	return e
}

// Supersedes reports whether e replaces other. A higher incarnation wins, then a
// higher sequence. Of two copies of the same announcement, one that is leaving or
// dead replaces one that isn't.
func (e Endpoint) Supersedes(other Endpoint) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	if e.Sequence != other.Sequence {
		return e.Sequence > other.Sequence
	}
	return e.Leaving && !other.Leaving || e.Dead && !other.Dead
}

// SameState reports whether e and other agree in everything that routers have to
// tell each other. The sequence and SeenAt, which change with every announcement,
// aren't compared.
func (e Endpoint) SameState(other Endpoint) bool {
	return e.Incarnation == other.Incarnation && e.Leaving == other.Leaving && e.Dead == other.Dead &&
		e.Address == other.Address && e.Zone == other.Zone && e.Capacity == other.Capacity && e.Version == other.Version &&
		slices.Equal(e.Models, other.Models) && slices.Equal(e.Adapters, other.Adapters) && slices.Equal(e.Services, other.Services)
}

// Serves reports whether the endpoint offers the model or service of t.
func (e Endpoint) Serves(t Target) bool {
	if t.Service != "" {
		return slices.Contains(e.Services, t.Service)
	}
	return slices.Contains(e.Models, t.Model)
}

// Target names what a request is for: a model, or a plain service if Service is
// set.
type Target struct {
	Model   string
	Service string
}

// Name returns the name of the model or service.
func (t Target) Name() string {
	if t.Service != "" {
		return t.Service
	}
	return t.Model
}
