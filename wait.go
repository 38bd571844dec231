package buckthornpin

import (
	"context"
	"time"
)

// Wait waits for a time, or until ctx is done.
func Wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
