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

// toolCallPause is the duration of the emulated tool call of the demonstration.
const toolCallPause = 400 * time.Millisecond

// Demo runs a program of three chat calls and a tool call, and prints what happens. The
// tool call takes toolCallPause and sends a non-idempotent pickup confirmation.
func Demo(ctx context.Context, d *Deployment, out io.Writer) error {
	entryList, err := (&client.Caller{Address: d.EntryAddresses[0], Key: d.Key}).Entries(ctx)
	if err != nil {
		return fmt.Errorf("list the entries: %w", err)
	}
	if len(entryList.Entries) == 0 {
		return fmt.Errorf("no entry is available")
	}
	fmt.Fprintf(out, "entries to use for %d ms: %v\n", entryList.LifetimeMS, entryList.Entries)
	run := demoRun{caller: client.Caller{Address: entryList.Entries[0].Address, Key: d.Key}, out: out}
	start := time.Now()
	for _, step := range []func(context.Context) error{
		func(ctx context.Context) error { return run.chatTurn(ctx, "Draft a listing for 40 crates of peaches.") },
		run.confirmPickup,
		func(ctx context.Context) error { return run.chatTurn(ctx, "Propose two pickup times.") },
		func(ctx context.Context) error { return run.chatTurn(ctx, "Summarise the agreement.") },
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "\nprogram latency: %d ms for 3 calls and a tool pause of %d ms\n", time.Since(start).Milliseconds(), toolCallPause.Milliseconds())
	return nil
}

// demoRun is the state of a demonstration.
type demoRun struct {
	caller   client.Caller
	out      io.Writer
	messages []client.Message
}

// chatTurn sends a question with the conversation so far and prints the completion.
func (r *demoRun) chatTurn(ctx context.Context, question string) error {
	r.messages = append(r.messages, client.Message{Role: "user", Content: question})
	fmt.Fprintf(r.out, "\ncaller: %s\nanswer: ", question)
	start := time.Now()
	completion, err := r.caller.Chat(ctx, client.ChatRequest{Model: Model, Stream: true, MaxTokens: 24, Messages: r.messages}, func(text string) { fmt.Fprint(r.out, text) })
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	r.messages = append(r.messages, client.Message{Role: "assistant", Content: completion.Text})
	fmt.Fprintf(r.out, "\nserved by %s (%s), %d of %d prompt tokens cached, %d ms\n",
		completion.Target, completion.Reason, completion.CachedTokens, completion.PromptTokens, time.Since(start).Milliseconds())
	return nil
}

// confirmPickup sends a pickup confirmation twice with the same idempotency key, like a
// caller that did not receive the first response.
func (r *demoRun) confirmPickup(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(toolCallPause):
	}
	headers := map[string]string{"Idempotency-Key": uuid.NewString(), "Content-Type": "application/json"}
	var responses [2]string
	for i := range responses {
		err := retryNotExecuted(ctx, func() error {
			body, err := r.caller.Service(ctx, "POST", PlainService, "/pickups", []byte(`{"lot":"peaches","crates":40}`), headers)
			responses[i] = string(body)
			return err
		})
		if err != nil {
			return fmt.Errorf("confirm the pickup: %w", err)
		}
	}
	if responses[0] != responses[1] {
		return fmt.Errorf("the repeated pickup confirmation got a different response: %q, %q", responses[0], responses[1])
	}
	fmt.Fprintf(r.out, "\ntool: pickup confirmed, and the repeated confirmation got the first answer: %.120s\n", responses[0])
	return nil
}

// retryNotExecuted repeats a request as long as it is refused as unavailable without
// having been executed. This happens in the first seconds of a deployment, while the
// shards have no second copy yet.
func retryNotExecuted(ctx context.Context, f func() error) error {
	for {
		err := f()
		var problem *client.Problem
		if !errors.As(err, &problem) || problem.Executed != "no" || problem.Status != http.StatusServiceUnavailable {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(max(problem.RetryAfter, startPollInterval)):
		}
	}
}
