// Package load drives agent programs against a deployment at a given rate and
// reports what callers experienced.
package load

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"hemlockvale.dev/server/client"
	"hemlockvale.dev/server/emulator"
)

// Options describe a load.
type Options struct {
	// Entries are addresses to ask which entries to use.
	Entries []string
	// Keys maps organisations to their keys.
	Keys map[string]string
	// Model is requested by each call.
	Model string
	// ProgramsPerSecond is the rate at which programs start, over all organisations.
	ProgramsPerSecond float64
	// Duration is how long programs are started.
	Duration time.Duration
	// Calls is the mean number of calls of a program.
	Calls float64
	// Pause is the mean tool pause between two calls.
	Pause time.Duration
	// PromptBytes is the length of the system message of each program.
	PromptBytes int
	// MaxTokens is the length of each answer.
	MaxTokens int64
	// Verify compares each answer with the emulated engine's.
	Verify bool
	// Direct sends the calls to these engines instead of the entries, for comparison.
	Direct []string
	// Seed makes the arrivals repeatable.
	Seed uint64
}

const (
	// maxCalls bounds a program, as the profiles' budgets do.
	maxCalls = 220
	// callTimeout bounds one call, its retries included.
	callTimeout = 60 * time.Second
	// maxRetries bounds the retries of a call that was refused.
	maxRetries = 20
	// defaultRetryDelay applies to refusals without a hint.
	defaultRetryDelay = 200 * time.Millisecond
)

// Run drives the load and waits until the last program has ended.
func Run(ctx context.Context, o Options) (*Report, error) {
	if len(o.Keys) == 0 || (len(o.Entries) == 0 && len(o.Direct) == 0) {
		return nil, errors.New("at least one entry and one key are required")
	}
	if o.ProgramsPerSecond <= 0 || o.Calls < 1 {
		return nil, errors.New("the rate must be positive and a program needs at least one call")
	}
	d := &driver{
		Options:  o,
		recorder: newRecorder(),
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute}},
		books:    make(map[string]*addressBook),
	}
	organisations := sortedNames(o.Keys)
	for _, organisation := range organisations {
		d.books[organisation] = &addressBook{key: o.Keys[organisation], bootstrap: o.Entries, http: d.http}
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
			d.program(ctx, organisation, seed)
		}()
	}
	running.Wait()
	return d.recorder.report(time.Since(start)), nil
}

// driver is one run of a load.
type driver struct {
	Options
	recorder *recorder
	http     *http.Client
	books    map[string]*addressBook
}

// program runs one program; its length is exponentially distributed.
func (d *driver) program(ctx context.Context, organisation string, seed uint64) {
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

// call makes one call and sends it again under the same idempotency key as
// long as the system allows it.
func (d *driver) call(ctx context.Context, organisation, programID string, messages []client.Message) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	chat := client.Chat{Model: d.Model, Messages: messages, Stream: true, MaxTokens: d.MaxTokens, Program: programID, Key: uuid.NewString()}
	var last error
	for range maxRetries {
		address, err := d.address(ctx, organisation)
		if err == nil {
			var text string
			text, err = d.attempt(ctx, organisation, address, chat)
			if err == nil {
				return text, nil
			}
		}
		last = err
		if errors.Is(err, errWrongAnswer) || !sleepUntil(ctx, time.Now().Add(retryDelay(err))) {
			break
		}
		d.books[organisation].drop(address)
	}
	d.recorder.callFailed(organisation, last)
	return "", last
}

var errWrongAnswer = errors.New("the answer is not the one to this request")

func (d *driver) attempt(ctx context.Context, organisation, address string, chat client.Chat) (string, error) {
	caller := client.Caller{Address: address, Key: d.Keys[organisation], HTTP: d.http}
	start := time.Now()
	var first time.Duration
	answer, err := caller.Chat(ctx, chat, func(string) {
		if first == 0 {
			first = time.Since(start)
		}
	})
	if err != nil {
		d.recorder.refused(organisation, err)
		return "", err
	}
	if d.Verify && answer.Text != expectedAnswer(chat) {
		d.recorder.refused(organisation, errWrongAnswer)
		return "", errWrongAnswer
	}
	d.recorder.answered(first, time.Since(start), answer)
	return answer.Text, nil
}

func expectedAnswer(chat client.Chat) string {
	request := emulator.ChatRequest{Model: chat.Model, MaxTokens: int(chat.MaxTokens)}
	for _, m := range chat.Messages {
		request.Messages = append(request.Messages, emulator.Message{Role: m.Role, Content: m.Content})
	}
	return emulator.Answer(request)
}

func (d *driver) address(ctx context.Context, organisation string) (string, error) {
	if len(d.Direct) > 0 {
		return d.Direct[rand.IntN(len(d.Direct))], nil
	}
	return d.books[organisation].pick(ctx)
}

func retryDelay(err error) time.Duration {
	var problem *client.Problem
	if errors.As(err, &problem) && problem.RetryAfter > 0 {
		return problem.RetryAfter
	}
	return defaultRetryDelay
}

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

// share returns part as a fraction of whole, 0 when there is no whole.
func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return math.Round(float64(part)/float64(whole)*1e6) / 1e6
}
