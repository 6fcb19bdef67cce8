// Command hemlockvaled runs one VM of a deployment, in the entry, control or store
// role, or a small development deployment in one process.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/hangup"
)

// These are the exit statuses of hemlockvaled other than 0.
const (
	exitFailure         = 1
	exitInvalidSettings = 2
)

// errInvalidSettings means that a settings file is not valid. The findings have already
// been printed when it is returned, so exitStatus does not print it.
var errInvalidSettings = errors.New("the settings are not valid")

func main() {
	// The first signal starts a planned stop and restores the default handling, so
	// that a second signal ends the process at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	os.Exit(exitStatus(rootCommand().ExecuteContext(ctx)))
}

// exitStatus prints err, unless it is errInvalidSettings, and returns the exit status
// for it.
func exitStatus(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errInvalidSettings):
		return exitInvalidSettings
	}
	fmt.Fprintln(os.Stderr, "hemlockvaled:", err)
	return exitFailure
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "hemlockvaled",
		Short: "Scheduler for agent programs: runs one VM of a deployment",
		Long: "hemlockvaled runs one VM of a deployment. Exit statuses: 0 after a planned stop, " +
			"1 on failure, 2 when the settings are not valid.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	serve := serveCommand()
	root.AddCommand(runCommand(), checkCommand(), serve, devCommand(), recoverCommand())
	root.PersistentPreRunE = func(cmd *cobra.Command, _ []string) error {
		if cmd == serve {
			return nil
		}
		return hangup.Restore()
	}
	return root
}
