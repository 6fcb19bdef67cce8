// Package load generates load on a deployment: it runs agent programs at a given rate
// and reports the latencies and errors that callers see.
package load

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"hemlockvale.dev/server/client"
	"hemlockvale.dev/server/emulator"
	"hemlockvale.dev/server/tcpend"
)

// Options describes the load to generate.
type Options struct {
	// Entries are HTTP addresses of entries from which the list of entries is requested.
	Entries []string
	// Keys maps the id of each organisation to its key.
	Keys map[string]string
	// Model is the model that each call requests.
	Model string
	// ProgramsPerSecond is the mean rate at which programs are started, over all
	// organisations.
	ProgramsPerSecond float64
	// Duration is the time for which programs are started.
	Duration time.Duration
	// Calls is the mean number of calls of a program, at least 1.
	Calls float64
	// Pause is the mean pause between two calls of a program, as for a tool call.
	Pause time.Duration
	// PromptBytes is the approximate length of each program's system message, in bytes.
	PromptBytes int
	// MaxTokens is the max_tokens of each call.
	MaxTokens int64
	// Verify compares each completion with the one that the emulated engine generates.
	Verify bool
	// Direct holds the addresses of engines to call instead of the entries, for
	// comparison.
	Direct []string
	// Seed is the seed of the arrival times and of the programs.
	Seed uint64
}

const (
	// maxCalls limits the calls of a program, as the budgets of profiles do.
	maxCalls = 220
	// callTimeout limits one call, including its retries.
	callTimeout = 60 * time.Second
	// maxAttempts limits the attempts of a call.
	maxAttempts = 20
	// defaultRetryDelay is the delay after a failed attempt without a Retry-After header.
	defaultRetryDelay = 200 * time.Millisecond
)

// Run starts programs for o.Duration, waits until the last one has ended and returns the
// report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if len(o.Keys) == 0 || (len(o.Entries) == 0 && len(o.Direct) == 0) {
		return nil, errors.New("at least one entry and one key are required")
	}
	if o.ProgramsPerSecond <= 0 || o.Calls < 1 {
		return nil, errors.New("the rate must be positive and a program needs at least one call")
	}
	d := &driver{
		Options:     o,
		recorder:    newRecorder(),
		http:        &http.Client{Transport: &http.Transport{DialContext: tcpend.Wrapping(new(net.Dialer).DialContext), MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute}},
		entryCaches: make(map[string]*entryCache),
	}
	organisations := sortedNames(o.Keys)
	for _, organisation := range organisations {
		d.entryCaches[organisation] = &entryCache{key: o.Keys[organisation], bootstrap: o.Entries, http: d.http}
	}
	random := rand.New(rand.NewPCG(o.Seed, 1))
	var running sync.WaitGroup
	start := time.Now()
	next := start
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / o.ProgramsPerSecond * float64(time.Second)))
		if next.Sub(start) > o.Duration || !sleepUntil(ctx, next) {
			break
		}
		organisation := organisations[random.IntN(len(organisations))]
		seed := random.Uint64()
		running.Add(1)
		go func() {
			defer running.Done()
			d.runProgram(ctx, organisation, seed)
		}()
	}
	running.Wait()
	return d.recorder.report(time.Since(start)), nil
}

// driver holds the state of one run.
type driver struct {
	Options
	recorder    *recorder
	http        *http.Client
	entryCaches map[string]*entryCache // by organisation
}

// runProgram runs one program. The number of calls and the pauses are exponentially
// distributed.
func (d *driver) runProgram(ctx context.Context, organisation string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	calls := min(1+int(random.ExpFloat64()*(d.Calls-1)), maxCalls)
	id := uuid.NewString()
	instructions := "You arrange pickups. Program " + id
	instructions += strings.Repeat(" .", max(d.PromptBytes-len(instructions), 0)/2)
	messages := []client.Message{{Role: "system", Content: instructions}}
	start := time.Now()
	for i := range calls {
		if i > 0 && !sleepUntil(ctx, time.Now().Add(time.Duration(random.ExpFloat64()*float64(d.Pause)))) {
			return
		}
		messages = append(messages, client.Message{Role: "user", Content: fmt.Sprintf("step %d of %s", i, id)})
		text, err := d.call(ctx, organisation, id, messages)
		if err != nil {
			d.recorder.programFailed(organisation)
			return
		}
		messages = append(messages, client.Message{Role: "assistant", Content: text})
	}
	d.recorder.programDone(organisation, time.Since(start))
}

// call makes one call. Failed attempts are retried with the same idempotency key, up to
// maxAttempts within callTimeout.
func (d *driver) call(ctx context.Context, organisation, programID string, messages []client.Message) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	chat := client.ChatRequest{Model: d.Model, Messages: messages, Stream: true, MaxTokens: d.MaxTokens, ProgramID: programID, IdempotencyKey: uuid.NewString()}
	var lastErr error
	for range maxAttempts {
		address, err := d.address(ctx, organisation)
		if err == nil {
			var text string
			text, err = d.attempt(ctx, organisation, address, chat)
			if err == nil {
				return text, nil
			}
		}
		lastErr = err
		if errors.Is(err, errWrongCompletion) || !sleepUntil(ctx, time.Now().Add(retryDelay(err))) {
			break
		}
		d.entryCaches[organisation].remove(address)
	}
	d.recorder.callFailed(organisation, lastErr)
	return "", lastErr
}

// errWrongCompletion reports a completion that differs from the expected one.
var errWrongCompletion = errors.New("the completion does not match the request")

// attempt makes one attempt of a call and records its outcome.
func (d *driver) attempt(ctx context.Context, organisation, address string, chat client.ChatRequest) (string, error) {
	caller := client.Caller{Address: address, Key: d.Keys[organisation], HTTP: d.http}
	start := time.Now()
	var firstToken time.Duration
	completion, err := caller.Chat(ctx, chat, func(string) {
		if firstToken == 0 {
			firstToken = time.Since(start)
		}
	})
	if err != nil {
		d.recorder.attemptFailed(organisation, err)
		return "", err
	}
	if d.Verify && completion.Text != expectedCompletion(chat) {
		d.recorder.attemptFailed(organisation, errWrongCompletion)
		return "", errWrongCompletion
	}
	d.recorder.callDone(firstToken, time.Since(start), completion)
	return completion.Text, nil
}

// expectedCompletion returns the text that the emulated engine generates for a request.
func expectedCompletion(chat client.ChatRequest) string {
	request := emulator.ChatRequest{Model: chat.Model, MaxTokens: int(chat.MaxTokens)}
	for _, m := range chat.Messages {
		request.Messages = append(request.Messages, emulator.Message{Role: m.Role, Content: m.Content})
	}
	return emulator.Completion(request)
}

// address returns the address for one attempt of a call.
func (d *driver) address(ctx context.Context, organisation string) (string, error) {
	if len(d.Direct) > 0 {
		return d.Direct[rand.IntN(len(d.Direct))], nil
	}
	return d.entryCaches[organisation].pick(ctx)
}

// retryDelay returns the delay before the next attempt of a call.
func retryDelay(err error) time.Duration {
	var problem *client.Problem
	if errors.As(err, &problem) && problem.RetryAfter > 0 {
		return problem.RetryAfter
	}
	return defaultRetryDelay
}

// sleepUntil returns true at the given time, or false if ctx ends before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// ratio returns part/total, rounded to six decimal places, or 0 if total is 0.
func ratio(part, total int64) float64 {
	if total == 0 {
		return 0
	}
	return math.Round(float64(part)/float64(total)*1e6) / 1e6
}
