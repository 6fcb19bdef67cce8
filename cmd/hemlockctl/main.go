// Command hemlockctl administers a deployment, generates load and emulates targets.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/client"
)

// These are the exit statuses of hemlockctl other than 0.
const (
	exitFailure = 1
	exitUsage   = 2
	// exitRefused means that the deployment refused the request without any effect.
	exitRefused = 3
	// exitUnknown means that the request may have had an effect.
	exitUnknown = 4
)

// usageError is an error in the command line or in a file that it names.
type usageError struct{ error }

// These are the environment variables for the defaults of --control and --token.
const (
	environmentControl = "HEMLOCKVALE_CONTROL"
	environmentToken   = "HEMLOCKVALE_ADMIN_TOKEN"
)

// defaultControl lists the HTTP addresses of the control VMs that scripts/fleet.sh
// starts.
const defaultControl = "127.0.0.1:8101,127.0.0.1:8102,127.0.0.1:8103"

// options holds the values of the flags that all commands share.
type options struct {
	control string // HTTP addresses of control VMs, separated by commas
	token   string // admin token
	output  string // "table" or "json"
}

// admin returns a client for the operators' API of the control VMs.
func (o *options) admin() (*client.Admin, error) {
	if o.token == "" {
		return nil, usageError{fmt.Errorf("no admin token: use --token or %s", environmentToken)}
	}
	return &client.Admin{Addresses: strings.Split(o.control, ","), Token: o.token}, nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	err := rootCommand().ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hemlockctl:", err)
	}
	os.Exit(exitStatus(err))
}

// exitStatus returns the exit status for the error of a command.
func exitStatus(err error) int {
	var problem *client.Problem
	var usage usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &problem) && problem.Executed == "no":
		return exitRefused
	case errors.As(err, &problem):
		return exitUnknown
	}
	return exitFailure
}

func rootCommand() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:   "hemlockctl",
		Short: "Administer a hemlockvale deployment",
		Long: "hemlockctl administers a hemlockvale deployment. Exit statuses: 0 success, 1 failure, 2 usage error, " +
			"3 refused and nothing changed, 4 refused or interrupted with unknown effect.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	flags := root.PersistentFlags()
	flags.StringVar(&o.control, "control", environmentOr(environmentControl, defaultControl), "HTTP addresses of control VMs, separated by commas (or "+environmentControl+")")
	flags.StringVar(&o.token, "token", os.Getenv(environmentToken), "admin token (or "+environmentToken+")")
	flags.StringVar(&o.output, "output", "table", "output format: table or json")
	root.AddCommand(
		applyCommand(o), organisationCommand(o), profileCommand(o), serviceCommand(o), keyCommand(o), targetCommand(o),
		vmCommand(o), statusCommand(o), quorumCommand(o), programCommand(o), turnCommand(o), quarantineCommand(o), evacuationCommand(o), loadCommand(o), emulateCommand(),
	)
	return root
}

// environmentOr returns the value of an environment variable, or fallback if it is
// empty.
func environmentOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}
