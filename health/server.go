// Package health answers what the platform's balancer and its monitoring ask:
// whether the process lives, whether it takes work, and its metrics.
package health

import (
	"expvar"
	"net/http"
)

// Server answers the platform. Its exported fields are set before Handler.
type Server struct {
	// Ready reports whether the process takes new work.
	Ready func() bool
	// Draining reports whether the process is stopping.
	Draining func() bool
	// Metrics are the metrics of this process.
	Metrics *expvar.Map
}

// Handler returns the HTTP handler: /livez, /readyz and /metrics.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, "alive")
	})
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(s.Metrics.String()))
	})
	return mux
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.Draining():
		answer(w, http.StatusServiceUnavailable, "draining")
	case !s.Ready():
		answer(w, http.StatusServiceUnavailable, "not ready")
	default:
		answer(w, http.StatusOK, "ready")
	}
}

func answer(w http.ResponseWriter, status int, text string) {
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
