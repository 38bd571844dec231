// Package oper implements the operators' HTTP interface and the client that the command
// line uses. The handlers only translate between HTTP and calls to the control group,
// which makes all decisions.
package oper

import (
	"context"
	"expvar"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"buckthornpin"
	"buckthornpin/event"
	"buckthornpin/site"
	"buckthornpin/wire"
)

// Paths of the operators' interface.
const (
	ChangesPath  = "/admin/v1/changes"
	SystemPath   = "/admin/v1/system"
	MembersPath  = "/admin/v1/members"
	StatusPath   = "/admin/v1/status"
	TimelinePath = "/admin/v1/timeline"
	SitePath     = "/admin/v1/site"
)

const (
	// maxChangeBytes limits the size of a change.
	maxChangeBytes = 1 << 20
	// maxSiteBytes limits the size of a site's configuration. It leaves room for
	// thousands of routes of about 300 bytes each.
	maxSiteBytes = 16 << 20
	// controlTimeout limits how long an operator's call waits for the control group.
	controlTimeout = 10 * time.Second
)

// Control is the part of the control group's interface that operators use.
type Control interface {
	Execute(ctx context.Context, commands []*wire.Command) ([]*wire.Result, error)
	Inspect(ctx context.Context, history bool) (*wire.InspectReply, error)
	ChangeMembers(ctx context.Context, r *wire.ChangeMembersRequest) (*wire.ChangeMembersReply, error)
}

// SiteControl reads and replaces a site's configuration: its routes, services and
// organisations.
type SiteControl interface {
	// PutSite makes a configuration durable unless one with a higher version already
	// is. It returns the version in force.
	PutSite(ctx context.Context, c site.Configuration) (int64, error)
	// ReadSite returns the newest configuration. Its error is of KindNotFound if there
	// is none yet.
	ReadSite(ctx context.Context) (site.Configuration, error)
}

// Status is a process's report on itself.
type Status struct {
	VM        string           `json:"vm"`
	Zone      string           `json:"zone"`
	Roles     []string         `json:"roles"`
	Build     string           `json:"build"`
	Ready     bool             `json:"ready"`
	Draining  bool             `json:"draining"`
	Version   int64            `json:"version"`
	Requests  int64            `json:"requests_in_progress"`
	Endpoints []EndpointStatus `json:"endpoints,omitempty"`
	Replica   *ReplicaStatus   `json:"replica,omitempty"`
}

// EndpointStatus is the state of an endpoint as one router sees it.
type EndpointStatus struct {
	Endpoint string   `json:"endpoint"`
	Zone     string   `json:"zone"`
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Services []string `json:"services,omitempty"`
	Capacity int      `json:"capacity"`
	Leaving  bool     `json:"leaving"`
	Dead     bool     `json:"dead"`
	// Watched is true if the endpoint announces itself to this router.
	Watched bool `json:"watched"`
}

// ReplicaStatus is a control replica's view of its group.
type ReplicaStatus struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Leader  string `json:"leader"`
	Term    uint64 `json:"term"`
	Commit  uint64 `json:"commit"`
	Applied uint64 `json:"applied"`
}

// Server serves operators. Its exported fields are set before Handler is called.
type Server struct {
	Control Control
	// Site is nil in processes that don't serve the routes of a site.
	Site     SiteControl
	Timeline *event.Timeline
	Status   func() Status
	// IsOperatorKey reports whether a hash is that of an operator's key.
	IsOperatorKey func(hash string) bool
	// HashKey returns the hash of a key.
	HashKey func(key string) string

	unauthorised expvar.Int
}

// Handler returns the HTTP handler.
func (s *Server) Handler() (http.Handler, error) {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog, iris.WithoutBanner)
	app.Use(s.authorise)
	app.Post(ChangesPath, iris.LimitRequestBodySize(maxChangeBytes), s.commitChange)
	app.Get(SystemPath, s.readSystem)
	app.Post(MembersPath, iris.LimitRequestBodySize(maxChangeBytes), s.changeMembers)
	app.Get(StatusPath, func(ctx iris.Context) { _ = ctx.JSON(s.Status()) })
	app.Get(TimelinePath, s.readTimeline)
	if s.Site != nil {
		app.Put(SitePath, iris.LimitRequestBodySize(maxSiteBytes), s.putSite)
		app.Get(SitePath, s.readSite)
	}
	return app, buckthornpin.WrapIf(app.Build(), "build operator handler")
}

// Unauthorised returns the counter of calls without a valid key.
func (s *Server) Unauthorised() *expvar.Int { return &s.unauthorised }

// authorise rejects calls without a valid operator's key.
func (s *Server) authorise(ctx iris.Context) {
	key, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	if ok && s.IsOperatorKey(s.HashKey(key)) {
		ctx.Next()
		return
	}
	s.unauthorised.Add(1)
	s.Timeline.Record(buckthornpin.Event{Kind: buckthornpin.EventUnauthorised, Detail: "operator call from " + ctx.RemoteAddr()})
	s.replyProblem(ctx, http.StatusUnauthorized, "expected Authorization: Bearer KEY with an operator's key")
}

// problemReply is the body of a reply that reports a problem.
type problemReply struct {
	Error string `json:"error"`
}

// replyProblem ends the call with a problem.
func (s *Server) replyProblem(ctx iris.Context, status int, text string) {
	ctx.StopExecution()
	ctx.StatusCode(status)
	_ = ctx.JSON(problemReply{Error: text})
}

// commitChange commits a change. A change that is sent again under its id has no further
// effect.
func (s *Server) commitChange(ctx iris.Context) {
	c := &wire.Command{}
	if !s.decode(ctx, c) {
		return
	}
	if err := CheckChange(c); err != nil {
		s.replyProblem(ctx, http.StatusBadRequest, err.Error())
		return
	}
	controlCtx, cancel := context.WithTimeout(ctx.Request().Context(), controlTimeout)
	defer cancel()
	results, err := s.Control.Execute(controlCtx, []*wire.Command{c})
	if err != nil {
		s.replyProblem(ctx, http.StatusServiceUnavailable, "the change may or may not have been accepted; send it again under the same id: "+err.Error())
		return
	}
	ctx.StatusCode(statusOfResult(results[0].GetKind()))
	s.reply(ctx, results[0])
}

// statusOfResult returns the HTTP status for a result's kind.
func statusOfResult(k wire.ResultKind) int {
	switch k {
	case wire.ResultKind_RESULT_KIND_OK:
		return http.StatusOK
	case wire.ResultKind_RESULT_KIND_NOT_FOUND:
		return http.StatusNotFound
	case wire.ResultKind_RESULT_KIND_CONFLICT:
		return http.StatusConflict
	}
	return http.StatusBadRequest
}

// readSystem replies with the state of the ledger.
func (s *Server) readSystem(ctx iris.Context) {
	controlCtx, cancel := context.WithTimeout(ctx.Request().Context(), controlTimeout)
	defer cancel()
	reply, err := s.Control.Inspect(controlCtx, ctx.URLParam("history") == "true")
	if err != nil {
		s.replyProblem(ctx, http.StatusServiceUnavailable, err.Error())
		return
	}
	s.reply(ctx, reply)
}

// changeMembers adds or removes a control replica.
func (s *Server) changeMembers(ctx iris.Context) {
	r := &wire.ChangeMembersRequest{}
	if !s.decode(ctx, r) {
		return
	}
	controlCtx, cancel := context.WithTimeout(ctx.Request().Context(), controlTimeout)
	defer cancel()
	reply, err := s.Control.ChangeMembers(controlCtx, r)
	if err != nil {
		s.replyProblem(ctx, http.StatusServiceUnavailable, err.Error())
		return
	}
	if reply.GetProblem() != "" {
		s.replyProblem(ctx, http.StatusConflict, reply.GetProblem())
		return
	}
	s.reply(ctx, reply)
}

// readTimeline replies with the events that the parameters select.
func (s *Server) readTimeline(ctx iris.Context) {
	f := event.Filter{Request: ctx.URLParam("request"), Organisation: ctx.URLParam("organisation"), VM: ctx.URLParam("vm")}
	_ = ctx.JSON(s.Timeline.Events(f))
}

// decode decodes the body of a call. If that fails it replies with the problem and returns
// false.
func (s *Server) decode(ctx iris.Context, m proto.Message) bool {
	body, err := ctx.GetBody()
	if err == nil {
		err = protojson.Unmarshal(body, m)
	}
	if err != nil {
		s.replyProblem(ctx, http.StatusBadRequest, err.Error())
	}
	return err == nil
}

// reply replies with a message as JSON with the field names of the .proto file.
func (s *Server) reply(ctx iris.Context, m proto.Message) {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		s.replyProblem(ctx, http.StatusInternalServerError, err.Error())
		return
	}
	ctx.ContentType("application/json")
	_, _ = ctx.Write(data)
}
