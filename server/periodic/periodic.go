// Package periodic runs the recurring tasks of the adapters.
package periodic

import (
	"context"
	"time"
)

// Every runs a task at each interval until ctx ends.
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
