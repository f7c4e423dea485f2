// Package daemon implements what the daemons have in common: logging, signal handling, the lifecycle and exit codes.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/settings"
)

// Exit codes of the daemons.
const (
	ExitSuccess     = 0
	ExitFailed      = 1
	ExitBadSettings = 2
)

// NewLogger returns the logger of a daemon.
func NewLogger(s settings.Common) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(os.Stderr)
	if s.Log.JSON {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil {
		logger.SetLevel(level)
	}
	return logger.WithFields(logrus.Fields{"name": s.Name, "zone": s.Zone})
}

// ReportSettingsError prints a settings error, one line for each invalid field, and returns the exit code.
func ReportSettingsError(err error) int {
	for line := range strings.Lines(trace.UserMessage(err)) {
		fmt.Fprintln(os.Stderr, strings.TrimRight(line, "\n"))
	}
	return ExitBadSettings
}

// Run runs a daemon until SIGTERM or SIGINT, which cancels its context so that it drains. A second signal terminates
// the process immediately.
func Run(log *logrus.Entry, run func(context.Context) error) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-signals
		cancel()
		<-signals
		log.Error("second signal: stopping without finishing the work in flight")
		os.Exit(ExitFailed)
	}()
	if err := run(ctx); err != nil {
		log.WithError(err).Error("daemon failed")
		return ExitFailed
	}
	return ExitSuccess
}
