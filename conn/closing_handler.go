package conn

import (
	"net/http"
	"sync/atomic"
)

// ClosingHandler serves requests with another handler. Once the server is stopping, each answer
// asks its client to close the connection. Connections without a request stay open, since
// closing one could cut off a request that is on its way.
type ClosingHandler struct {
	Handler http.Handler

	closing atomic.Bool
}

// StartClosing makes all further answers ask for the end of their connections.
func (h *ClosingHandler) StartClosing() { h.closing.Store(true) }

// ServeHTTP implements http.Handler.
func (h *ClosingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	h.Handler.ServeHTTP(w, r)
}
