package backend

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// CrashExitCode is the exit code of a stand-in process that a request crashed.
const CrashExitCode = 3

// Stand is a stand-in that listens by itself.
type Stand interface {
	Start(address string) error
	Address() string
	Close() error
}

// Main runs a stand-in until SIGINT or SIGTERM and returns the exit code.
func Main(name string, stand Stand, address string) int {
	if err := stand.Start(address); err != nil {
		logrus.WithError(err).Error("can't start")
		return 1
	}
	logrus.WithFields(logrus.Fields{"name": name, "address": stand.Address()}).Info("listening")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	if err := stand.Close(); err != nil {
		logrus.WithError(err).Error("can't close")
		return 1
	}
	return 0
}

// CrashExit ends the process as a crash does.
func CrashExit() { os.Exit(CrashExitCode) }

// OpenLog opens a log file for appending; no name means no file.
func OpenLog(name string) (*os.File, error) {
	if name == "" {
		return nil, nil
	}
	return os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
}
