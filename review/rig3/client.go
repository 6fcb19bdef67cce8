package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	hostName   = "ficu95.example"
	turnPrefix = "/lohu930/"
	callPrefix = "/pule252/"
	tenantKey  = "3fexd9dnn2ctnfzs989a"
)

// manifest returns a manifest like the example of the pages. Routes that keep histories have two
// attempts, as those of the installations that use them.
func manifest(version int, keepsHistory, resumable bool) map[string]any {
	attempts := 1
	if keepsHistory {
		attempts = 2
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-turn", "host": hostName, "path_prefix": turnPrefix, "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0,
				"service": "huvo11a", "max_attempts": attempts, "keeps_history": keepsHistory, "retention_s": 60.0, "auth_exempt": false, "sticky": true, "resumable": resumable, "gap_aim_ms": 200,
			},
			{
				"name": "r-call", "host": hostName, "path_prefix": callPrefix, "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 200, "priority": 2,
				"service": "wuno96b", "max_attempts": 1, "keeps_history": false, "auth_exempt": false, "sticky": false, "resumable": false,
			},
		},
		"services": []map[string]any{
			{"name": "huvo11a", "health_path": "/health", "max_conns": 321, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 12, "kv_capacity": 178182, "kv_token_bytes": 192512, "link_mbps": 1500000.0, "moves": true, "backups": true, "tokens_per_event": 11, "most": 12,
				"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": "wuno96b", "health_path": "/health", "max_conns": 214, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{tenantKey}, "priority": 1, "rate_per_s": 2000, "burst": 2000}},
	}
}

var lastID atomic.Uint64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), lastID.Add(1)) }

// answer is what a client has seen of one attempt.
type answer struct {
	id     string
	status int
	signed bool
	// whole is set if the body has come to its end.
	whole  bool
	body   string
	header http.Header
	err    error
}

// attempt sends one request on a new channel and reads the answer.
func attempt(rec *recorder, front *machine, method, path string, header map[string]string, body []byte, deadline time.Duration) answer {
	a := answer{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", front.ip, frontPort, path), bytes.NewReader(body))
	request.Host = hostName
	request.Header.Set("X-Request-Id", a.id)
	request.Header.Set("X-Deadline", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+tenantKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		a.err = err
		rec.line("client: %s %s to %s: no answer: %v", a.id, path, front.name, err)
		return a
	}
	defer response.Body.Close()
	a.status, a.signed, a.header = response.StatusCode, response.Header.Get("X-Server-Stamp") != "", response.Header
	data, err := io.ReadAll(bufio.NewReader(response.Body))
	a.body, a.err, a.whole = string(data), err, err == nil
	text := ""
	if !a.signed {
		text = strings.TrimSpace(a.body)
	}
	rec.line("client: %s %s to %s: %d signed %v whole %v %.40q", a.id, path, front.name, a.status, a.signed, a.whole, text)
	return a
}

// turnHeader returns the headers of a turn.
func turnHeader(program, previous string) map[string]string {
	h := map[string]string{
		"X-Model": "m", "X-Token-Usage": "60,88", "X-Prompt-Prefix": fmt.Sprintf("%08x:60", rand.Uint32()), "X-Program": program, "X-Session": "s" + program,
		"X-Program-Deadline": "50000", "X-Token-Budget": "100000", "Content-Type": "application/json",
	}
	if previous != "" {
		h["X-Previous-Turn"] = previous
	}
	return h
}
