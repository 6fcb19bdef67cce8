// Package logging implements the log of a process, which has one line of key=value pairs
// for each event.
package logging

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes the events of the given level and of more severe levels
// to out. Each line contains the ID of the VM.
func New(out io.Writer, level, vm string) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(parsed)
	log.SetFormatter(Formatter{})
	return log.WithField("vm", vm), nil
}
