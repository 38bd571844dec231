package buckthornpin

import (
	"context"
	"time"
)

// Every calls f after each interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, f func(ctx context.Context, now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(ctx, now)
		}
	}
}
