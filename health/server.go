// Package health serves the health checks of the platform's load balancer and the
// metrics for its monitoring.
package health

import (
	"expvar"
	"net/http"
)

// Server serves health checks and metrics. Its exported fields must be set before
// Handler is called.
type Server struct {
	// Ready reports whether the process takes new work.
	Ready func() bool
	// Draining reports whether the process is stopping.
	Draining func() bool
	// Metrics holds the metrics of this process.
	Metrics *expvar.Map
}

// Handler returns the HTTP handler. It serves /livez, which always answers 200 OK;
// /readyz, which answers 503 Service Unavailable while the process is draining or
// not ready; and /metrics, in JSON.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusOK, "alive")
	})
	mux.HandleFunc("GET /readyz", s.handleReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(s.Metrics.String()))
	})
	return mux
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.Draining():
		respond(w, http.StatusServiceUnavailable, "draining")
	case !s.Ready():
		respond(w, http.StatusServiceUnavailable, "not ready")
	default:
		respond(w, http.StatusOK, "ready")
	}
}

func respond(w http.ResponseWriter, status int, text string) {
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
