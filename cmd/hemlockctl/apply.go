package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/client"
)

// applyCommand returns the apply command, which writes all objects of a configuration
// file.
func applyCommand(o *options) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "apply --file FILE",
		Short: "Write the organisations, profiles and services in a file",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			configuration, err := readConfiguration(file)
			if err != nil {
				return err
			}
			admin, err := o.admin()
			if err != nil {
				return err
			}
			if err := admin.Apply(cmd.Context(), configuration); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "applied %d organisations, %d profiles, %d services\n",
				len(configuration.Organisations), len(configuration.Profiles), len(configuration.Services))
			return nil
		},
	}
	fileFlag(cmd, &file)
	return cmd
}

// fileFlag adds the required --file flag to cmd.
func fileFlag(cmd *cobra.Command, file *string) {
	cmd.Flags().StringVarP(file, "file", "f", "", "JSON file to read")
	// MarkFlagRequired fails only if the flag is not defined.
	_ = cmd.MarkFlagRequired("file")
}

// readConfiguration reads and parses a configuration file. Its errors are usage errors.
func readConfiguration(file string) (client.Configuration, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return client.Configuration{}, usageError{err}
	}
	configuration, err := client.ParseConfiguration(data)
	if err != nil {
		return configuration, usageError{fmt.Errorf("%s: %w", file, err)}
	}
	return configuration, nil
}
