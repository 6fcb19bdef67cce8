package rpc

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// BenchmarkCall measures the cost of a small call over loopback, including the work of
// both the client and the server.
func BenchmarkCall(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewServer(logrus.NewEntry(log))
	s.Handle("echo", func(_ context.Context, p json.RawMessage) (any, error) { return p, nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	pool := NewPool(time.Second)
	defer pool.Close()
	params := map[string]string{"organisation": "pantry", "program": "lineage-0123456789abcdef", "key": "k"}
	b.ReportAllocs()
	for b.Loop() {
		var got map[string]string
		if err := pool.Call(b.Context(), l.Addr().String(), "echo", params, &got); err != nil {
			b.Fatal(err)
		}
	}
}
