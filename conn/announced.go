package conn

import (
	"context"
	"net"
	"net/http"
)

// announced is the process that has announced itself on a connection. A process that leaves may
// not say which incarnation it is. What it announced on the same connection does, also if the
// call was delayed until another incarnation runs. It needs no lock, since an HTTP/1.1 connection
// carries one call at a time.
type announced struct {
	id          string
	incarnation int64
	// shared is set once several processes have used the connection. It then belongs to
	// something in between and proves nothing.
	shared bool
}

// announcedKey is the context key of what was announced on a connection.
type announcedKey struct{}

// RememberIncarnations makes the connections of a server remember who announces itself on them.
// It must be called before the server runs.
func RememberIncarnations(s *http.Server) {
	s.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, announcedKey{}, new(announced))
	}
}

// RecordIncarnation records on the connection of a call that an incarnation of a process has
// announced itself, if the server remembers that.
func RecordIncarnation(ctx context.Context, id string, incarnation int64) {
	if a, ok := ctx.Value(announcedKey{}).(*announced); ok {
		a.shared = a.shared || a.id != "" && a.id != id
		a.id, a.incarnation = id, max(a.incarnation, incarnation)
	}
}

// IncarnationOf returns the incarnation of the process that has announced itself on the
// connection of a call, or 0 if that isn't certain.
func IncarnationOf(ctx context.Context, id string) int64 {
	a, ok := ctx.Value(announcedKey{}).(*announced)
	if !ok || a.shared || a.id != id {
		return 0
	}
	return a.incarnation
}
