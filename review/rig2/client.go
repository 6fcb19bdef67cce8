package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host = "ficu95.example"
	key  = "3fexd9dnn2ctnfzs989a"
)

// answer is what a client saw of one attempt.
type answer struct {
	id     string
	status int
	body   string
	stamp  string
	// whole is set if the response came to its end.
	whole bool
	// retryAfter is the Retry-After of a refusal.
	retryAfter string
	err        error
}

// clients resolves fronts and sends requests.
type clients struct {
	d    *deployment
	rec  *recorder
	last atomic.Int64

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

func (c *clients) newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), c.last.Add(1)) }

// resolve returns the addresses of fronts.
func (c *clients) resolve() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.addresses
	}
	cores := c.d.class("core")
	first := rand.IntN(len(cores))
	for i := range cores {
		m := cores[(first+i)%len(cores)]
		response, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s:%d/api/resolve?name=%s&region=r&zone=%s", m.ip, directoryPort, host, m.zone))
		if err != nil {
			continue
		}
		var list struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(response.Body).Decode(&list)
		response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK && len(list.Addresses) > 0 {
			c.addresses, c.until = list.Addresses, time.Now().Add(time.Duration(list.TTL*float64(time.Second)))
			break
		}
	}
	return c.addresses
}

// send makes one attempt on a new channel.
func (c *clients) send(method, path, body string, deadline time.Duration, headers map[string]string) answer {
	a := answer{id: c.newID()}
	addresses := c.resolve()
	if len(addresses) == 0 {
		a.err = fmt.Errorf("no front is known")
		return a
	}
	address := addresses[rand.IntN(len(addresses))]
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Deadline", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	c.rec.log("client: sends %s %s %s to %s %.300v", a.id, method, path, address, fmt.Sprint(headers))
	client := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err == nil {
		defer response.Body.Close()
		a.status, a.stamp, a.retryAfter = response.StatusCode, response.Header.Get("X-Server-Stamp"), response.Header.Get("Retry-After")
		var data []byte
		data, err = io.ReadAll(response.Body)
		a.body, a.whole = string(data), err == nil
	}
	a.err = err
	c.rec.log("client: %s answered %d whole=%v bytes=%d err=%v %.40q", a.id, a.status, a.whole, len(a.body), err, a.body)
	return a
}

// operate sends a manifest until it is acknowledged.
func (d *deployment) operate(manifest map[string]any) error {
	body, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for _, m := range d.class("core") {
			response, err := controlClient.Post(fmt.Sprintf("http://%s:%d/api/config/put", m.ip, controlPort), "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			answer, _ := io.ReadAll(response.Body)
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				d.rec.log("operator: version %v acknowledged", manifest["version"])
				return nil
			}
			if response.StatusCode < 500 {
				return fmt.Errorf("manifest refused with %d: %s", response.StatusCode, answer)
			}
		}
	}
	return fmt.Errorf("the manifest was not acknowledged")
}

// order makes a call of the operator at any control node and returns the status and the body.
func (d *deployment) order(method, path, body string) (int, string) {
	for _, m := range d.class("core") {
		r, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, controlPort, path), strings.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		response, err := controlClient.Do(r)
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode < 500 {
			return response.StatusCode, string(text)
		}
	}
	return 0, ""
}

// manifest returns a manifest with a chat route that keeps histories and a plain route.
func manifest(version int, history bool) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-chat", "host": host, "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0, "service": "models", "max_attempts": 2, "keeps_history": history, "retention_s": 60.0, "auth_exempt": false, "sticky": true, "resumable": true, "gap_aim_ms": 200},
			map[string]any{"name": "r-book", "host": host, "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 500, "priority": 2, "service": "ledger", "max_attempts": 1, "keeps_history": false, "retention_s": 60.0, "auth_exempt": false, "sticky": false, "resumable": false},
		},
		"services": []any{
			map[string]any{"name": "models", "health_path": "/health", "max_conns": 321, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 12, "kv_capacity": 178182, "kv_token_bytes": 192512, "link_mbps": 1500000.0, "moves": false, "backups": false, "tokens_per_event": tokensPerEvent, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "ledger", "health_path": "/health", "max_conns": 214, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1, "rate_per_s": 500, "burst": 500}},
	}
}
