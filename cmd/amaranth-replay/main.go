// Command amaranth-replay replays traces and compares the measures with the wanted outcomes.
//
// It exits with 0 when all outcomes are kept, 1 when one is missed or the run fails, and 2 on bad input.
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
	exitGood   = 0
	exitMissed = 1
	exitBad    = 2
)

type arguments struct {
	Generate  *generateCommand  `arg:"subcommand:generate" help:"write the trace of a deployment"`
	Simulate  *simulateCommand  `arg:"subcommand:simulate" help:"run a policy against the engine model in simulated time"`
	Run       *runCommand       `arg:"subcommand:run" help:"send a trace to a running fleet"`
	Targets   *targetsCommand   `arg:"subcommand:targets" help:"run the stand-ins of a trace's targets until a signal"`
	Catalogue *catalogueCommand `arg:"subcommand:catalogue" help:"write the catalogue of a trace"`
}

// command is one subcommand; it returns whether all outcomes were kept.
type command interface {
	run(ctx context.Context) (kept bool, err error)
}

func main() { os.Exit(run()) }

func run() int {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Program: "amaranth-replay"}, &args)
	if err != nil {
		logrus.WithError(err).Error("arguments")
		return exitBad
	}
	parser.MustParse(os.Args[1:])
	selected, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteUsage(os.Stderr)
		return exitBad
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	kept, err := selected.run(ctx)
	return exitCode(kept, err)
}

func exitCode(kept bool, err error) int {
	switch {
	case err != nil && trace.IsBadParameter(err):
		logrus.Error(trace.UserMessage(err))
		return exitBad
	case err != nil:
		logrus.Error(trace.UserMessage(err))
		return exitMissed
	case !kept:
		return exitMissed
	}
	return exitGood
}
