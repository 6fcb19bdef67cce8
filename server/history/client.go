package history

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"hemlockvale.dev/coord/history"
	"hemlockvale.dev/server/compact"
	"hemlockvale.dev/server/sockopt"
)

const (
	// callTimeout bounds one call to a store VM.
	callTimeout = 700 * time.Millisecond
	// copyTimeout bounds a call that makes copies.
	copyTimeout = 3 * time.Second
	// dialTimeout bounds a connection attempt.
	dialTimeout = 200 * time.Millisecond
	// hedgeDelay is how long a call waits for a store VM before it also uses the next one.
	// It exceeds the time of several syncs.
	hedgeDelay = 80 * time.Millisecond
	// idleTimeout and maxIdlePerStore bound the idle connections.
	idleTimeout     = 5 * time.Second
	maxIdlePerStore = 4
	// tcpUserTimeout is how long sent data may stay unacknowledged.
	tcpUserTimeout = time.Second
)

// ErrUnavailable reports that too few store VMs did what was requested in time.
var ErrUnavailable = errors.New("too few store VMs are available")

// errUnknownCall reports a call that the release of the store VM does not know.
var errUnknownCall = errors.New("unknown call")

// Client reads and writes the records of store VMs. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// Reserve reserves memory for a response before its bytes are read; nil for none. release is
	// called once the response has been decoded. It must be set before the first call.
	Reserve func(ctx context.Context, n int) (release func(), err error)
}

// NewClient returns a client without connections.
func NewClient() *Client {
	dialer := net.Dialer{Timeout: dialTimeout, Control: sockopt.UserTimeout(tcpUserTimeout)}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: maxIdlePerStore, IdleConnTimeout: idleTimeout,
	}}}
}

// call sends a request to a store VM and decodes the response.
func (c *Client) call(ctx context.Context, address, path string, request, response any) error {
	data, err := compact.Marshal(request)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	// Every call has the same effect when it is repeated, so the library may send it again
	// after a connection was closed.
	r.Header["Idempotency-Key"] = nil
	result, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer result.Body.Close()
	switch result.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return fmt.Errorf("%s: %w", address, errUnknownCall)
	default:
		return fmt.Errorf("%s: %s", address, result.Status)
	}
	if c.Reserve == nil {
		return readMessage(result.Body, response)
	}
	reserving := &reservingReader{source: result.Body, reserve: func(n int) (func(), error) { return c.Reserve(ctx, n) }}
	defer reserving.release()
	return readMessage(reserving, response)
}

// fetch returns the records of some turns that a store VM holds.
func (c *Client) fetch(ctx context.Context, address string, turns []history.Turn) ([]Record, error) {
	var response readResponse
	err := c.call(ctx, address, pathRead, readRequest{Turns: turns}, &response)
	return response.Records, err
}

// Copy makes a store VM copy records from another one. It returns the turns that the VM
// holds afterwards.
func (c *Client) Copy(ctx context.Context, to, from string, turns []history.Turn) ([]history.Turn, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var response copyResponse
	err := c.call(ctx, to, pathCopy, copyRequest{Turns: turns, From: from}, &response)
	return response.Turns, err
}

// Held returns which of some turns a store VM has the records of. It asks the VM to copy them
// from itself, which earlier releases understand as well.
func (c *Client) Held(ctx context.Context, address string, turns []history.Turn) ([]history.Turn, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response copyResponse
	err := c.call(ctx, address, pathCopy, copyRequest{Turns: turns, From: address}, &response)
	return response.Turns, err
}

// Seal makes a store VM that is being retired refuse further records. It returns once the VM has
// stored those that it accepted before. A VM of an earlier release goes on to accept them.
func (c *Client) Seal(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.call(ctx, address, pathSeal, sealRequest{}, &sealResponse{})
	if errors.Is(err, errUnknownCall) {
		return nil
	}
	return err
}

// Read returns the history up to and including a turn from the first holder that has it,
// and the holder's storage. It returns ErrUnavailable if no holder delivers it.
func (c *Client) Read(ctx context.Context, t history.Turn, holders []history.Store) (content []byte, source string, err error) {
	found := make([][]byte, len(holders))
	succeeded, err := c.race(ctx, holders, 1, func(ctx context.Context, i int) error {
		records, err := c.fetch(ctx, holders[i].Address, []history.Turn{t})
		if err == nil && len(records) != 1 {
			err = fmt.Errorf("%s: %w", holders[i].Address, ErrNotFound)
		}
		if err == nil {
			found[i] = records[0].Content
		}
		return err
	})
	if err != nil {
		return nil, "", err
	}
	return found[succeeded[0]], holders[succeeded[0]].Storage, nil
}

// Draft is a record that is to be written.
type Draft struct {
	Turn history.Turn
	// Previous is the turn before; nil if there is none.
	Previous *history.Turn
	// Retention is how long the record must be kept.
	Retention time.Duration
	// Content is the complete history. Its first BaseBytes bytes are the history of
	// Previous.
	Content   []byte
	BaseBytes int
	// StagedBytes is the length of the first part of Content that was staged; 0 if none
	// was.
	StagedBytes int
}

// Stage sends the first part of a record, which is the Content of the draft, to store VMs
// while the turn is running, so that Write has less to send. After an error, Write sends the
// whole record to the VMs that did not receive the part.
func (c *Client) Stage(ctx context.Context, d Draft, stores []history.Store) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	errs := make([]error, len(stores))
	var wg sync.WaitGroup
	for i, s := range stores {
		wg.Go(func() { errs[i] = c.stageAt(ctx, s.Address, d) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// stageAt sends the first part of a record to one store VM.
func (c *Client) stageAt(ctx context.Context, address string, d Draft) error {
	request := stageRequest{Turn: d.Turn, Content: d.Content}
	if d.Previous != nil {
		request.Base, request.Content = d.Previous, d.Content[d.BaseBytes:]
	}
	var response baseResponse
	err := c.call(ctx, address, pathStage, request, &response)
	if err == nil && response.BaseMissing && request.Base != nil {
		request.Base, request.Content = nil, d.Content
		err = c.call(ctx, address, pathStage, request, &response)
	}
	return err
}

// Write stores a record on copies of the candidates, which it tries in order, and returns
// their storages once all of them have synced it. It returns ErrUnavailable if too few
// candidates do so.
func (c *Client) Write(ctx context.Context, d Draft, candidates []history.Store, copies int) ([]string, error) {
	succeeded, err := c.race(ctx, candidates, copies, func(ctx context.Context, i int) error {
		return c.writeTo(ctx, candidates[i].Address, d)
	})
	if err != nil {
		return nil, err
	}
	holders := make([]string, len(succeeded))
	for i, candidate := range succeeded {
		holders[i] = candidates[candidate].Storage
	}
	return holders, nil
}

// writeTo stores a record on one store VM. It sends the complete history only if the VM
// has neither the staged part nor the previous turn.
func (c *Client) writeTo(ctx context.Context, address string, d Draft) error {
	whole := writeRequest{Turn: d.Turn, Retention: d.Retention, Content: d.Content}
	var requests []writeRequest
	if d.StagedBytes > 0 {
		r := whole
		r.Staged, r.Content = true, d.Content[d.StagedBytes:]
		requests = append(requests, r)
	}
	if d.Previous != nil {
		r := whole
		r.Base, r.Content = d.Previous, d.Content[d.BaseBytes:]
		requests = append(requests, r)
	}
	for _, r := range append(requests, whole) {
		var response baseResponse
		if err := c.call(ctx, address, pathWrite, r, &response); err != nil || !response.BaseMissing {
			return err
		}
	}
	return fmt.Errorf("%s: %w", address, ErrNotFound)
}

// attempt is the result of the call to one store VM.
type attempt struct {
	index int
	err   error
}

// race calls the stores in order, wanted of them at first and one more after each failure
// or hedgeDelay, until wanted calls have succeeded. It returns the indexes of their stores
// in ascending order.
func (c *Client) race(ctx context.Context, stores []history.Store, wanted int, call func(ctx context.Context, i int) error) ([]int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	results := make(chan attempt, len(stores))
	started := 0
	startNext := func() {
		if started == len(stores) {
			return
		}
		i := started
		started++
		go func() { results <- attempt{i, call(ctx, i)} }()
	}
	for range wanted {
		startNext()
	}
	var succeeded []int
	var errs []error
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for len(succeeded) < wanted {
		if len(errs) > len(stores)-wanted {
			return nil, errors.Join(append(errs, ErrUnavailable)...)
		}
		select {
		case a := <-results:
			if a.err != nil {
				errs = append(errs, a.err)
				startNext()
				continue
			}
			succeeded = append(succeeded, a.index)
		case <-hedge.C:
			startNext()
		case <-ctx.Done():
			return nil, errors.Join(append(errs, ErrUnavailable, ctx.Err())...)
		}
	}
	slices.Sort(succeeded)
	return succeeded, nil
}
