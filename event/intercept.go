package event

import (
	"context"
	"net/http"
	"strconv"

	"connectrpc.com/connect"

	"buckthornpin"
)

// StampHeader is the header that carries the sender's stamp, in hexadecimal.
const StampHeader = "Buckthornpin-Stamp"

// Interceptor sends and receives stamps with every call, so that the merged timeline
// orders causes before their effects.
func (c *Clock) Interceptor() connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			if req.Spec().IsClient {
				c.writeHeader(req.Header())
			} else {
				c.readHeader(req.Header())
			}
			res, err := next(ctx, req)
			if err != nil {
				return nil, err
			}
			if req.Spec().IsClient {
				c.readHeader(res.Header())
			} else {
				c.writeHeader(res.Header())
			}
			return res, nil
		}
	})
}

func (c *Clock) writeHeader(h http.Header) {
	h.Set(StampHeader, strconv.FormatUint(uint64(c.Next()), 16))
}

func (c *Clock) readHeader(h http.Header) {
	s, err := strconv.ParseUint(h.Get(StampHeader), 16, 64)
	if err == nil {
		c.Observe(buckthornpin.Stamp(s))
	}
}
