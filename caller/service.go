package caller

import (
	"net/http"
	"strconv"

	"github.com/kataras/iris/v12"

	"buckthornpin"
	"buckthornpin/router"
)

// callService runs a call to a plain service and sends its answer.
func (s *Server) callService(ctx iris.Context) {
	r, o, ok := s.readRequest(ctx)
	if !ok {
		return
	}
	name := ctx.Params().Get("name")
	if !mayUse(o, name) {
		refuse(ctx, router.NewRefusal(http.StatusForbidden, router.CodeForbidden, "the organisation may not use service "+strconv.Quote(name), r.KeyGenerated, 0))
		return
	}
	rule := s.Accounts.Policy().ServiceRule(name)
	r.Target = buckthornpin.Target{Service: name}
	r.NonIdempotent = r.NonIdempotent || rule.NonIdempotent
	r.Method = ctx.Method()
	r.ContentType = ctx.GetHeader("Content-Type")
	if rest := ctx.Params().Get("rest"); rest != "" {
		r.Path = "/" + rest
	}
	if q := ctx.Request().URL.RawQuery; q != "" {
		r.Path += "?" + q
	}
	reader, refusal := s.Router.Start(r.WithLimits(rule.Cost, 0), 0)
	if refusal != nil {
		refuse(ctx, refusal)
		return
	}
	defer reader.Close()
	frames, _, err := reader.ReadAll(ctx.Request().Context())
	if err != nil {
		refuse(ctx, asRefusal(err))
		return
	}
	answer, err := router.DecodeServiceAnswer(frames[0].Data)
	if err != nil {
		refuse(ctx, asRefusal(err))
		return
	}
	ctx.ContentType(answer.ContentType)
	ctx.StatusCode(answer.Status)
	_, _ = ctx.Write(answer.Body)
}
