package conn

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// discardTime bounds how long the rest of a body is read after its request was answered.
	discardTime = 3 * time.Second
	// maxDiscardBytes bounds how much of it is read.
	maxDiscardBytes = 16 << 20
)

// AnswerEarly calls answer, which answers a request whose body hasn't been read to its end. It then
// reads the rest of the body: a connection that is closed with unread bytes is reset, so that a
// client that is still sending wouldn't see the answer.
func AnswerEarly(w http.ResponseWriter, r *http.Request, answer func()) {
	c := http.NewResponseController(w)
	// Without this, net/http reads a part of the body before it sends the answer.
	_ = c.EnableFullDuplex()
	_ = c.SetWriteDeadline(time.Now().Add(discardTime))
	answer()
	if c.Flush() != nil || r.ContentLength == 0 || strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes)
}
