// Package hangup receives SIGHUP from the initialisation of the process on. The signal asks for
// new settings and may follow the start of a process at once, but would terminate it until a
// handler is registered. The initialisation of other packages takes 5 to 8 ms.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals has room for one signal: several that are received before the settings are read again
// have the effect of one.
var signals = make(chan os.Signal, 1)

// The package imports only what the handler needs, so that it is initialised early.
func init() { signal.Notify(signals, syscall.SIGHUP) }

// Signals returns the channel on which the signals are received.
func Signals() <-chan os.Signal { return signals }

// Restore restores the default handling, for a process that has no settings to read again. A
// signal that has been received takes effect.
func Restore() error {
	signal.Reset(syscall.SIGHUP)
	select {
	case <-signals:
		return syscall.Kill(os.Getpid(), syscall.SIGHUP)
	default:
		return nil
	}
}
