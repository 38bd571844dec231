package conn

import (
	"io"
	"net/http"
	"strings"

	"buckthornpin/memory"
)

const (
	// messageFactor is the memory that a message takes as a multiple of its size: as it came,
	// decoded, and encoded again for others.
	messageFactor = 3
	// smallMessageBytes is the size up to which messages aren't counted.
	smallMessageBytes = 16 << 10
)

// MessageLimiter is an HTTP handler that bounds the memory which messages in progress take
// together. A message that doesn't fit is answered with 503 before it is read, or fails to be
// read. Streams of messages aren't bounded.
type MessageLimiter struct {
	Account *memory.Account
	// Use is what the messages are.
	Use     memory.Use
	Handler http.Handler
}

// ServeHTTP implements http.Handler.
func (l *MessageLimiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 || isStreamOfMessages(r.Header.Get("Content-Type")) {
		l.Handler.ServeHTTP(w, r)
		return
	}
	body := &limitedMessage{ReadCloser: r.Body, claim: l.Account.Claim(l.Use)}
	defer body.claim.Release()
	if !body.count(r.ContentLength) {
		AnswerEarly(w, r, func() { http.Error(w, "too many large messages at once", http.StatusServiceUnavailable) })
		return
	}
	r.Body = body
	l.Handler.ServeHTTP(w, r)
}

// isStreamOfMessages reports whether a content type is that of a streaming call of connect-go.
func isStreamOfMessages(contentType string) bool {
	return strings.HasPrefix(contentType, "application/connect+") || strings.HasPrefix(contentType, "application/grpc")
}

// limitedMessage takes room for what is read.
type limitedMessage struct {
	io.ReadCloser
	claim *memory.Claim
	// read is the number of bytes that were read, counted the number for which there is room.
	read, counted int64
}

// count takes room for the first n bytes of the message.
func (m *limitedMessage) count(n int64) bool {
	if n <= max(m.counted, smallMessageBytes) {
		return true
	}
	if !m.claim.Resize(n * messageFactor) {
		return false
	}
	m.counted = n
	return true
}

// Read implements io.Reader.
func (m *limitedMessage) Read(p []byte) (int, error) {
	n, err := m.ReadCloser.Read(p)
	m.read += int64(n)
	if !m.count(m.read) {
		return 0, memory.ErrFull
	}
	return n, err
}
