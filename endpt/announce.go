package endpt

import (
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"

	"buckthornpin"
)

const (
	// maxAnnounceBytes is the largest body of an announcement.
	maxAnnounceBytes = 64 << 10
	// maxCapacity is the largest capacity that an endpoint may announce, in
	// concurrent requests.
	maxCapacity = 1 << 16
)

// Directory stores announced endpoints and knows the routers that accept
// announcements.
type Directory interface {
	// Put stores an endpoint as it was just announced.
	Put(e buckthornpin.Endpoint)
	// AnnounceAddresses returns the addresses of the routers that accept
	// announcements.
	AnnounceAddresses() []string
}

// AnnouncementServer receives the announcements of endpoints. Its exported fields
// must be set before Handler is called.
type AnnouncementServer struct {
	Directory Directory
	Events    buckthornpin.Recorder
	// Secret returns the secret that endpoints must send; if it is empty, they must
	// send none.
	Secret func() string
	// UnauthorisedCalls counts the calls that lacked the right secret.
	UnauthorisedCalls interface{ Add(delta int64) }
}

// Handler returns the HTTP handler for AnnouncePath.
func (a *AnnouncementServer) Handler() (http.Handler, error) {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog, iris.WithoutBanner)
	app.Post(AnnouncePath, iris.LimitRequestBodySize(maxAnnounceBytes), a.handleAnnounce)
	return app, buckthornpin.WrapIf(app.Build(), "build announce handler")
}

func (a *AnnouncementServer) handleAnnounce(ctx iris.Context) {
	secret := a.Secret()
	if subtle.ConstantTimeCompare([]byte(ctx.GetHeader(SecretHeader)), []byte(secret)) != 1 {
		a.UnauthorisedCalls.Add(1)
		a.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventUnauthorised, Detail: "announcement from " + ctx.RemoteAddr()})
		ctx.StatusCode(http.StatusUnauthorized)
		return
	}
	var m Announcement
	err := json.NewDecoder(ctx.Request().Body).Decode(&m)
	if err == nil {
		err = m.check()
	}
	if err != nil {
		a.Events.Record(buckthornpin.Event{Kind: buckthornpin.EventEndpointRefused, Detail: "announcement from " + ctx.RemoteAddr() + ": " + err.Error()})
		ctx.StopWithText(http.StatusBadRequest, "announcement: %v", err)
		return
	}
	a.Directory.Put(m.endpoint(time.Now()))
	_ = ctx.JSON(AnnounceReply{Routers: a.Directory.AnnounceAddresses()})
}

func (m Announcement) check() error {
	if m.Endpoint == "" || len(m.Endpoint) > 200 {
		return errors.New("endpoint: expected a name of 1 to 200 bytes")
	}
	if _, _, err := net.SplitHostPort(m.Address); err != nil {
		return errors.Wrap(err, "address: expected IP:PORT")
	}
	if m.Capacity < 1 || m.Capacity > maxCapacity {
		return errors.Errorf("capacity: %d: expected 1 to %d", m.Capacity, maxCapacity)
	}
	if len(m.Models)+len(m.Services) == 0 {
		return errors.New("models, services: expected at least one name")
	}
	if m.Incarnation <= 0 || m.Sequence <= 0 {
		return errors.New("incarnation, sequence: expected numbers above 0")
	}
	return m.endpoint(time.Time{}).Check()
}

func (m Announcement) endpoint(now time.Time) buckthornpin.Endpoint {
	return buckthornpin.Endpoint{
		ID: m.Endpoint, Address: m.Address, Zone: m.Zone, Models: m.Models, Adapters: m.Adapters, Services: m.Services,
		Capacity: m.Capacity, Incarnation: m.Incarnation, Sequence: m.Sequence,
		Leaving: m.Leaving, SeenAt: now,
	}
}
