package conn

import (
	"context"
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// RefusesConnections reports whether nothing listens on an address.
func (p *Pool) RefusesConnections(ctx context.Context, address string) bool {
	return refused(p.open(ctx, address))
}

// RefusesConnections reports whether nothing listens on an address.
func (d *Dialer) RefusesConnections(ctx context.Context, address string) bool {
	return refused(d.dial(ctx, "tcp", address))
}

// refused closes a connection that was opened, and reports whether the other side refused it.
func refused(c net.Conn, err error) bool {
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
