package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"buckthornpin"
	"buckthornpin/stream"
)

// eventWriter sends an answer as server-sent events. The status and the headers are
// sent with the first event.
type eventWriter struct {
	ctx     iris.Context
	timeout time.Duration // bounds each write
	started bool
	buf     []byte
}

// start sets the status and the headers, once.
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

func (w *eventWriter) writeFrames(frames []stream.Frame) error {
	w.buf = w.buf[:0]
	for _, f := range frames {
		w.buf = append(w.buf, "id: "...)
		w.buf = strconv.AppendInt(w.buf, int64(f.EndOffset), 10)
		w.buf = append(w.buf, "\ndata: "...)
		w.buf = append(w.buf, f.Data...)
		w.buf = append(w.buf, "\n\n"...)
	}
	return w.flush()
}

func (w *eventWriter) writeKeepAlive() error {
	w.buf = append(w.buf[:0], ": keep-alive\n\n"...)
	return w.flush()
}

func (w *eventWriter) writeEndMark() error {
	w.buf = append(w.buf[:0], "data: [DONE]\n\n"...)
	return w.flush()
}

// writeRefusal sends an error event, or refuses the call if nothing was sent yet.
func (w *eventWriter) writeRefusal(r *buckthornpin.Refusal) {
	if !w.started {
		refuse(w.ctx, r)
		return
	}
	w.buf = append(w.buf[:0], "event: error\ndata: "...)
	w.buf = append(w.buf, encodeRefusal(r)...)
	w.buf = append(w.buf, "\n\n"...)
	_ = w.flush()
}

// flush sends the buffer within the timeout.
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
