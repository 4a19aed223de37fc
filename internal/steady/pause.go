package steady

import (
	"context"
	"time"
)

// Pause blocks until d has passed or ctx is done.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
