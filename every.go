package buckthornpin

import (
	"context"
	"time"
)

// Every calls f once per interval until ctx is done. The first call comes after
// one interval.
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
