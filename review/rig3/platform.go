package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"time"
)

// operator calls the control API like the operator of the pages: each call goes to one control
// machine after the other, until it gets a clear answer.
type operator struct {
	d      *deployment
	client *http.Client
}

func newOperator(d *deployment) *operator {
	return &operator{d: d, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call makes one call at any control machine. It tries on after a failure, a 5xx, a 408 or a 429.
func (o *operator) call(method, path string, body []byte, limit time.Duration) (status int, answer []byte, err error) {
	err = fmt.Errorf("no control machine answered %s", path)
	for pause, end := 50*time.Millisecond, time.Now().Add(limit); time.Now().Before(end); pause = min(2*pause, 400*time.Millisecond) {
		controls := o.d.of("control")
		c := controls[rand.Intn(len(controls))]
		request, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", c.ip, controlPort, path), bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		response, callErr := o.client.Do(request)
		if callErr != nil {
			o.d.rec.line("operator: %s %s at %s: %v", method, path, c.name, callErr)
			time.Sleep(pause)
			continue
		}
		data, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		o.d.rec.line("operator: %s %s at %s: %d %.60q", method, path, c.name, response.StatusCode, data)
		if readErr != nil || response.StatusCode >= 500 || response.StatusCode == 408 || response.StatusCode == 429 {
			time.Sleep(pause)
			continue
		}
		return response.StatusCode, data, nil
	}
	return 0, nil, err
}

// put sends a manifest until it is acknowledged.
func (o *operator) put(manifest map[string]any, limit time.Duration) error {
	status, answer, err := o.call(http.MethodPost, "/api/config/put", []byte(asJSON(manifest)), limit)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("manifest refused: %d %s", status, answer)
	}
	return err
}

// retireState returns the state of a retirement.
func (o *operator) retireState(node string) (string, error) {
	status, answer, err := o.call(http.MethodGet, "/api/retire/"+node+"/get", nil, 3*time.Second)
	if err != nil {
		return "", err
	}
	if status != http.StatusOK {
		return "", fmt.Errorf("state of the retirement: %d %s", status, answer)
	}
	var state struct {
		State string `json:"state"`
	}
	return state.State, json.Unmarshal(answer, &state)
}
