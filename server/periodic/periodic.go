// Package periodic runs recurring tasks, such as checks for expired requests.
package periodic

import (
	"context"
	"time"
)

// Every calls task once per interval until ctx ends. The first call is made after one
// interval. Calls do not overlap: a call that is due while task runs is delayed or
// skipped.
func Every(ctx context.Context, interval time.Duration, task func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			task()
		}
	}
}
