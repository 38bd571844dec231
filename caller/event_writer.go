package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"buckthornpin"
	"buckthornpin/stream"
)

// eventWriter writes server-sent events. The status is sent with the first one.
type eventWriter struct {
	ctx     iris.Context
	timeout time.Duration
	started bool
	buf     []byte
}

func (w *eventWriter) start() {
	if w.started {
		return
	}
	w.started = true
	h := w.ctx.ResponseWriter().Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	w.ctx.StatusCode(http.StatusOK)
}

func (w *eventWriter) frames(fs []stream.Frame) error {
	w.buf = w.buf[:0]
	for _, f := range fs {
		w.buf = append(w.buf, "id: "...)
		w.buf = strconv.AppendInt(w.buf, int64(f.To), 10)
		w.buf = append(w.buf, "\ndata: "...)
		w.buf = append(w.buf, f.Data...)
		w.buf = append(w.buf, "\n\n"...)
	}
	return w.flush()
}

func (w *eventWriter) comment() error {
	w.buf = append(w.buf[:0], ": keep-alive\n\n"...)
	return w.flush()
}

func (w *eventWriter) end() error {
	w.buf = append(w.buf[:0], "data: [DONE]\n\n"...)
	return w.flush()
}

// refuse ends a stream with an error, or the call if nothing was sent yet.
func (w *eventWriter) refuse(r *buckthornpin.Refusal) {
	if !w.started {
		refuse(w.ctx, r)
		return
	}
	w.buf = append(w.buf[:0], "event: error\ndata: "...)
	w.buf = append(w.buf, encodeRefusal(r)...)
	w.buf = append(w.buf, "\n\n"...)
	_ = w.flush()
}

func (w *eventWriter) flush() error {
	w.start()
	out := w.ctx.ResponseWriter()
	if err := http.NewResponseController(out.Naive()).SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return err
	}
	if _, err := out.Write(w.buf); err != nil {
		return err
	}
	out.Flush()
	return nil
}
