package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"hemlockvale.dev/server/rpc"
)

// vmDialTimeout bounds a connection attempt to a store or control VM.
const vmDialTimeout = time.Second

// addStoreFlag adds the flag for the addresses of store VMs.
func addStoreFlag(cmd *cobra.Command, stores *[]string) {
	cmd.Flags().StringSliceVar(stores, "store", nil, "RPC addresses of store VMs, separated by commas")
}

// askStores calls a method of the store VMs in order until the leader responds. It returns
// the errors of all of them if none does.
func askStores(ctx context.Context, stores []string, method string, params, response any) error {
	if len(stores) == 0 {
		return usageError{errors.New("no store VM: use --store")}
	}
	return askLeader(ctx, stores, method, params, response)
}

// askLeader calls a method that only the leader executes. It tries the VMs at the addresses in
// order until one responds without an error.
func askLeader(ctx context.Context, addresses []string, method string, params, response any) error {
	pool := rpc.NewPool(vmDialTimeout)
	defer pool.Close()
	var errs []error
	for _, address := range addresses {
		err := pool.Call(ctx, address, method, params, response)
		if err == nil {
			return nil
		}
		errs = append(errs, fmt.Errorf("%s: %w", address, err))
	}
	return errors.Join(errs...)
}
