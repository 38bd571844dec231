package event

import (
	"context"
	"net/http"
	"strconv"

	"connectrpc.com/connect"

	"buckthornpin"
)

// StampHeader carries the sender's stamp between processes.
const StampHeader = "Buckthornpin-Stamp"

// Interceptor carries stamps with each call, so that causes come before their
// effects on the merged time line.
func (c *Clock) Interceptor() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if r.Spec().IsClient {
				c.write(r.Header())
			} else {
				c.read(r.Header())
			}
			w, err := next(ctx, r)
			if err != nil {
				return nil, err
			}
			if r.Spec().IsClient {
				c.read(w.Header())
			} else {
				c.write(w.Header())
			}
			return w, nil
		}
	})
}

func (c *Clock) write(h http.Header) {
	h.Set(StampHeader, strconv.FormatUint(uint64(c.Next()), 16))
}

func (c *Clock) read(h http.Header) {
	s, err := strconv.ParseUint(h.Get(StampHeader), 16, 64)
	if err == nil {
		c.Observe(buckthornpin.Stamp(s))
	}
}
