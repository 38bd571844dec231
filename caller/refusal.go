package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"

	"buckthornpin"
	"buckthornpin/router"
)

// errorBody is an error in the OpenAI shape, with the outcome beside it.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message     string               `json:"message"`
	Type        string               `json:"type"`
	Code        string               `json:"code"`
	Outcome     buckthornpin.Outcome `json:"outcome"`
	RetryAfter  int                  `json:"retry_after_seconds,omitempty"`
	NextAttempt int                  `json:"next_attempt,omitempty"`
}

func bodyOf(r *buckthornpin.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Message: r.Message, Type: typeOf(r.Status), Code: r.Code, Outcome: r.Outcome,
		RetryAfter: seconds(r.RetryAfter), NextAttempt: r.NextAttempt,
	}}
}

func typeOf(status int) string {
	switch {
	case status == http.StatusPaymentRequired:
		return "insufficient_quota"
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		return "authentication_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

func seconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// refuse answers a call with a refusal.
func refuse(ctx iris.Context, r *buckthornpin.Refusal) {
	h := ctx.ResponseWriter().Header()
	h.Set(OutcomeHeader, string(r.Outcome))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds(r.RetryAfter)))
	}
	if r.NextAttempt > 0 {
		h.Set(AttemptHeader, strconv.Itoa(r.NextAttempt))
	}
	ctx.StatusCode(r.Status)
	_ = ctx.JSON(bodyOf(r))
}

// encodeRefusal returns a refusal as the data of an event.
func encodeRefusal(r *buckthornpin.Refusal) []byte {
	data, err := json.Marshal(bodyOf(r))
	if err != nil {
		panic(err) // Strings and numbers always encode.
	}
	return data
}

// refusalOf returns the refusal that ended an answer.
func refusalOf(err error) *buckthornpin.Refusal {
	var r *buckthornpin.Refusal
	if errors.As(err, &r) {
		return r
	}
	return router.NewRefusal(http.StatusServiceUnavailable, router.CodeBroken, err.Error(), false, time.Second)
}
