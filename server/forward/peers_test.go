package forward

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
)

// TestPeersAreKnownWithoutControl guards against requests of an isolated entry that wait, one
// after the other, for control VMs that do not respond.
func TestPeersAreKnownWithoutControl(t *testing.T) {
	p := peers{}
	log := logrus.NewEntry(&logrus.Logger{Out: io.Discard, Formatter: &logrus.TextFormatter{}, Level: logrus.ErrorLevel})
	fetches := 0
	named := func(context.Context) ([]string, error) { fetches++; return []string{"a", "b"}, nil }
	assert.Equal(t, []string{"a", "b"}, p.list(t.Context(), named, log))
	assert.Equal(t, []string{"a", "b"}, p.list(t.Context(), named, log))
	assert.Equal(t, 1, fetches)

	p.fetchedAt, p.triedAt = time.Now().Add(-2*peersValidity), time.Time{}
	silent := make(chan struct{})
	hanging := func(context.Context) ([]string, error) { <-silent; return nil, errors.New("no response") }
	start := time.Now()
	for range 10 {
		assert.Equal(t, []string{"a", "b"}, p.list(t.Context(), hanging, log))
	}
	assert.Less(t, time.Since(start), time.Second)

	p.remove("a")
	p.remove("b")
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	assert.Empty(t, p.list(ctx, hanging, log), "the caller leaves")
	close(silent)
	assert.Eventually(t, func() bool { return len(p.list(t.Context(), named, log)) == 2 }, time.Second, time.Millisecond)
}

// TestControlIsNotAskedForEachRequest guards against an entry that asks control as often as
// it can because the other entries decline its requests or control refuses.
func TestControlIsNotAskedForEachRequest(t *testing.T) {
	p := peers{}
	log := logrus.NewEntry(&logrus.Logger{Out: io.Discard, Formatter: &logrus.TextFormatter{}, Level: logrus.ErrorLevel})
	fetches := 0
	start := time.Now()
	fetch := func(context.Context) ([]string, error) {
		fetches++
		if fetches%2 == 0 {
			return nil, errors.New("control refuses")
		}
		return []string{"a"}, nil
	}
	for range 6 {
		p.list(t.Context(), fetch, log)
		p.remove("a")
	}
	assert.LessOrEqual(t, fetches, 1+int(time.Since(start)/minFetchInterval))
}
