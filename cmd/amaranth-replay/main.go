// Command amaranth-replay replays traces and checks the measurements against the expected outcomes.
//
// It exits with 0 if all outcomes are met, 1 if an outcome is missed or the run fails, and 2 on invalid input.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
)

type arguments struct {
	Generate  *generateCommand  `arg:"subcommand:generate" help:"write the trace of a deployment"`
	Simulate  *simulateCommand  `arg:"subcommand:simulate" help:"run a policy against the engine model in simulated time"`
	Run       *runCommand       `arg:"subcommand:run" help:"send a trace to a running fleet"`
	Targets   *targetsCommand   `arg:"subcommand:targets" help:"run the stand-ins of a trace's targets until a signal"`
	Catalogue *catalogueCommand `arg:"subcommand:catalogue" help:"write the catalogue of a trace"`
}

// command is implemented by every subcommand. run reports whether all outcomes were met.
type command interface {
	run(ctx context.Context) (met bool, err error)
}

func main() { os.Exit(run()) }

func run() int {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Program: "amaranth-replay"}, &args)
	if err != nil {
		logrus.WithError(err).Error("invalid argument definitions")
		return exitBadInput
	}
	parser.MustParse(os.Args[1:])
	selected, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteUsage(os.Stderr)
		return exitBadInput
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	met, err := selected.run(ctx)
	return exitCode(met, err)
}

func exitCode(met bool, err error) int {
	switch {
	case err != nil && trace.IsBadParameter(err):
		logrus.Error(trace.UserMessage(err))
		return exitBadInput
	case err != nil:
		logrus.Error(trace.UserMessage(err))
		return exitFailed
	case !met:
		return exitFailed
	}
	return exitOK
}
