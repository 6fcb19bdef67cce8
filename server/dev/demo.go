package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"hemlockvale.dev/server/client"
)

// toolPause is the pause of the demonstration's tool between two calls.
const toolPause = 400 * time.Millisecond

// Demo runs a program of three calls with a tool pause and a pickup
// confirmation that must not be repeated, and prints what happens.
func Demo(ctx context.Context, d *Deployment, out io.Writer) error {
	list, err := (&client.Caller{Address: d.EntryAddresses[0], Key: d.Key}).Entries(ctx)
	if err != nil {
		return fmt.Errorf("ask for the entries: %w", err)
	}
	if len(list.Entries) == 0 {
		return fmt.Errorf("no entry is available")
	}
	fmt.Fprintf(out, "entries to use for %d ms: %v\n", list.LifetimeMS, list.Entries)
	run := demoRun{caller: client.Caller{Address: list.Entries[0].Address, Key: d.Key}, out: out}
	start := time.Now()
	for _, step := range []func(context.Context) error{
		func(ctx context.Context) error { return run.turn(ctx, "Draft a listing for 40 crates of peaches.") },
		run.tool,
		func(ctx context.Context) error { return run.turn(ctx, "Propose two pickup times.") },
		func(ctx context.Context) error { return run.turn(ctx, "Summarise the agreement.") },
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "\nprogram latency: %d ms for 3 calls and a tool pause of %d ms\n", time.Since(start).Milliseconds(), toolPause.Milliseconds())
	return nil
}

type demoRun struct {
	caller   client.Caller
	out      io.Writer
	messages []client.Message
}

func (r *demoRun) turn(ctx context.Context, question string) error {
	r.messages = append(r.messages, client.Message{Role: "user", Content: question})
	fmt.Fprintf(r.out, "\ncaller: %s\nanswer: ", question)
	start := time.Now()
	answer, err := r.caller.Chat(ctx, client.ChatRequest{Model: Model, Stream: true, MaxTokens: 24, Messages: r.messages}, func(text string) { fmt.Fprint(r.out, text) })
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	r.messages = append(r.messages, client.Message{Role: "assistant", Content: answer.Text})
	fmt.Fprintf(r.out, "\nserved by %s (%s), %d of %d prompt tokens cached, %d ms\n",
		answer.Target, answer.Reason, answer.CachedTokens, answer.PromptTokens, time.Since(start).Milliseconds())
	return nil
}

// tool confirms a pickup twice under one key, as a caller does whose answer was lost.
func (r *demoRun) tool(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(toolPause):
	}
	headers := map[string]string{"Idempotency-Key": uuid.NewString(), "Content-Type": "application/json"}
	var answers [2]string
	for i := range answers {
		err := retryNotRun(ctx, func() error {
			body, err := r.caller.Service(ctx, "POST", PlainService, "/pickups", []byte(`{"lot":"peaches","crates":40}`), headers)
			answers[i] = string(body)
			return err
		})
		if err != nil {
			return fmt.Errorf("confirm the pickup: %w", err)
		}
	}
	if answers[0] != answers[1] {
		return fmt.Errorf("the repeated confirmation got another answer: %q, %q", answers[0], answers[1])
	}
	fmt.Fprintf(r.out, "\ntool: pickup confirmed, and the repeated confirmation got the first answer: %.120s\n", answers[0])
	return nil
}

// retryNotRun repeats a request as long as the system says that it did not run,
// as during the first seconds, when the shards have no second copy yet.
func retryNotRun(ctx context.Context, f func() error) error {
	for {
		err := f()
		var problem *client.Problem
		if !errors.As(err, &problem) || problem.Executed != "no" || problem.Status != http.StatusServiceUnavailable {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(max(problem.RetryAfter, startPoll)):
		}
	}
}
