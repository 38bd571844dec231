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

// errorBody is an error in the OpenAI format, extended by the request's outcome and
// by when and how to retry.
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

func newErrorBody(r *buckthornpin.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Message: r.Message, Type: errorType(r.Status), Code: r.Code, Outcome: r.Outcome,
		RetryAfter: ceilSeconds(r.RetryAfter), NextAttempt: r.NextAttempt,
	}}
}

// errorType returns the OpenAI error type of an HTTP status.
func errorType(status int) string {
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

// ceilSeconds rounds a duration up to whole seconds.
func ceilSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

// refuse answers a call with a refusal.
func refuse(ctx iris.Context, r *buckthornpin.Refusal) {
	h := ctx.ResponseWriter().Header()
	h.Set(OutcomeHeader, string(r.Outcome))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(r.RetryAfter)))
	}
	if r.NextAttempt > 0 {
		h.Set(AttemptHeader, strconv.Itoa(r.NextAttempt))
	}
	ctx.StatusCode(r.Status)
	_ = ctx.JSON(newErrorBody(r))
}

// encodeRefusal returns a refusal as the JSON data of an event.
func encodeRefusal(r *buckthornpin.Refusal) []byte {
	data, err := json.Marshal(newErrorBody(r))
	if err != nil {
		panic(err) // Strings and numbers can always be encoded.
	}
	return data
}

// asRefusal returns the refusal in err's chain. Any other error means that the answer
// broke, and the outcome is unknown.
func asRefusal(err error) *buckthornpin.Refusal {
	var r *buckthornpin.Refusal
	if errors.As(err, &r) {
		return r
	}
	return router.NewRefusal(http.StatusServiceUnavailable, router.CodeBroken, err.Error(), false, time.Second)
}
