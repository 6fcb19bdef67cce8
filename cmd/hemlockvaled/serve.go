package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"hemlockvale.dev/platform"
	"hemlockvale.dev/server/hangup"
	"hemlockvale.dev/server/logging"
	"hemlockvale.dev/server/node"
	"hemlockvale.dev/server/settings"
)

// serveCommand returns the serve command, which runs one VM of a deployment that
// forms itself from seed addresses.
func serveCommand() *cobra.Command {
	var file string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run an entry, control or store VM of a deployment that forms itself from seed addresses",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, findings := settings.LoadNode(file)
			for _, finding := range findings {
				fmt.Fprintln(cmd.ErrOrStderr(), finding)
			}
			if len(findings) > 0 {
				return errInvalidSettings
			}
			if checkOnly {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: valid, %s %s in %s\n", file, s.VM.Role, s.VM.ID, s.VM.DataCentre)
				return nil
			}
			out := logging.NewAsyncWriter(os.Stdout)
			defer out.Close()
			log, err := logging.New(out, s.Log.Level, s.VM.ID)
			if err != nil {
				return err
			}
			return node.Run(cmd.Context(), node.Options{Settings: s, Path: file, Adapter: platform.Adapter{}, Log: log, DroppedLines: out.Dropped, Reload: hangup.Signals()})
		},
	}
	settingsFlag(cmd, &file)
	cmd.Flags().BoolVar(&checkOnly, "check", false, "only check the settings file and report all errors in it")
	return cmd
}
