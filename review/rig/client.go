package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host = "ficu95.example"
	key  = "3fexd9dnn2ctnfzs989a"
)

var requestNumber atomic.Int64

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(requestNumber.Add(1))) }

// manifest returns a manifest with the given routes and services.
func manifest(version int, routes, services []map[string]any) map[string]any {
	for _, r := range routes {
		r["host"] = host
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1, "rate_per_s": 2000, "burst": 2000}},
	}
}

// engine describes the model engines of a service.
func engine(slots int) map[string]any {
	return map[string]any{"slots": slots, "kv_capacity": 116925, "kv_token_bytes": 192512, "link_mbps": 1500000.0, "tokens_per_event": 11, "models": []map[string]any{{"name": "m"}}}
}

// client sends each attempt on a new channel.
type client struct {
	c    *cluster
	http *http.Client
}

func (c *cluster) newClient() *client {
	return &client{c: c, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// entry asks a machine that serves the directory for an address of an entry.
func (k *client) entry(zone string) (string, error) {
	err := fmt.Errorf("no directory")
	for _, v := range k.c.shuffled(roleControl) {
		var response *http.Response
		response, err = control.Get("http://" + k.c.address(v.ip, portDirectory) + "/api/resolve?name=" + host + "&region=gulf-plains&zone=" + zone)
		if err != nil {
			continue
		}
		var list struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&list)
		response.Body.Close()
		if err == nil && len(list.Addresses) > 0 {
			return list.Addresses[rand.IntN(len(list.Addresses))], nil
		}
	}
	return "", err
}

// do sends one attempt with pairs of header names and values.
func (k *client) do(ctx context.Context, method, path, id string, deadline time.Duration, body string, headers ...string) (*http.Response, error) {
	address, err := k.entry(zones[0])
	if err != nil {
		return nil, err
	}
	return k.doAt(ctx, address, method, path, id, deadline, body, headers...)
}

// doAt sends one attempt to an entry.
func (k *client) doAt(ctx context.Context, address, method, path, id string, deadline time.Duration, body string, headers ...string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return k.http.Do(request)
}

// event is one event of a stream.
type event struct{ id, data string }

// readEvents calls f with each whole event. It returns nil if the stream ends as complete.
func readEvents(body io.Reader, f func(event)) error {
	reader := bufio.NewReader(body)
	var e event
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF && line == "" && e == (event{}) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("broken off: %w", err)
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "":
			f(e)
			e = event{}
		case strings.HasPrefix(line, "id: "):
			e.id = line[4:]
		case strings.HasPrefix(line, "data: "):
			e.data = line[6:]
		}
	}
}
