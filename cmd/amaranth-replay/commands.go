package main

import (
	"context"
	"io"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/replay"
)

type generateCommand struct {
	Deployment string `arg:"positional,required" help:"hanamichi or cordillera"`
	Seed       uint64 `arg:"--seed" default:"1" help:"equal seeds give equal traces"`
	Out        string `arg:"--out" default:"-" help:"file; - is the standard output"`
}

func (c *generateCommand) run(context.Context) (bool, error) {
	generated, err := replay.Generate(c.Deployment, c.Seed)
	if err != nil {
		return false, err
	}
	return true, writeOutput(c.Out, generated.Write)
}

type simulateCommand struct {
	measureOptions
	Policy string `arg:"--policy" default:"fleet" help:"policy to measure; baselines run as well"`
	Seed   uint64 `arg:"--seed" default:"1" help:"seed of random policies"`
}

func (c *simulateCommand) run(context.Context) (bool, error) {
	recorded, outcomes, err := c.read()
	if err != nil {
		return false, err
	}
	measures, err := replay.Simulate(recorded, c.Policy, c.Seed)
	if err != nil {
		return false, err
	}
	return c.finish(recorded, outcomes, c.Policy, c.Seed, measures)
}

type runCommand struct {
	measureOptions
	Fleet string `arg:"--fleet,required" help:"YAML file with the addresses of the fleet and its stand-ins"`
	Seed  uint64 `arg:"--seed" default:"1" help:"seed of random baselines"`
}

// livePolicy is the policy name in the results of a run against real daemons.
const livePolicy = "live"

func (c *runCommand) run(ctx context.Context) (bool, error) {
	recorded, outcomes, err := c.read()
	if err != nil {
		return false, err
	}
	fleet, err := replay.ReadFleet(c.Fleet)
	if err != nil {
		return false, err
	}
	progress := terminalProgress()
	measures, err := replay.NewClient(recorded, fleet, progress).Run(ctx)
	progress.End()
	if err != nil {
		return false, err
	}
	if err := ctx.Err(); err != nil {
		return false, trace.Wrap(err, "run interrupted")
	}
	return c.finish(recorded, outcomes, livePolicy, c.Seed, measures)
}

// terminalProgress returns a progress line if standard error is a terminal, and nil otherwise.
func terminalProgress() *replay.Progress {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return &replay.Progress{Terminal: os.Stderr}
}

type targetsCommand struct {
	Trace string `arg:"--trace,required" help:"trace file"`
	Out   string `arg:"--out" default:"-" help:"gets the addresses as the part of a fleet file; - is the standard output"`
}

func (c *targetsCommand) run(ctx context.Context) (bool, error) {
	recorded, err := readTrace(c.Trace)
	if err != nil {
		return false, err
	}
	standins, err := replay.StartStandins(&recorded.Deployment)
	if err != nil {
		return false, err
	}
	err = writeOutput(c.Out, func(sink io.Writer) error {
		return yaml.NewEncoder(sink).Encode(map[string]any{"targets": standins.Targets})
	})
	if err == nil {
		logrus.WithField("targets", len(standins.Targets)).Info("listening")
		<-ctx.Done()
	}
	return true, trace.NewAggregate(err, standins.Close())
}

type catalogueCommand struct {
	Trace    string `arg:"--trace,required" help:"trace file"`
	Fleet    string `arg:"--fleet,required" help:"fleet file with the addresses of the targets"`
	Revision uint64 `arg:"--revision" default:"1" help:"revision of the catalogue"`
	Out      string `arg:"--out" default:"-" help:"file; - is the standard output"`
}

func (c *catalogueCommand) run(context.Context) (bool, error) {
	recorded, err := readTrace(c.Trace)
	if err != nil {
		return false, err
	}
	fleet, err := replay.ReadFleet(c.Fleet)
	if err != nil {
		return false, err
	}
	document, err := replay.Document(&recorded.Deployment, fleet.Targets, c.Revision)
	if err != nil {
		return false, err
	}
	return true, writeOutput(c.Out, func(sink io.Writer) error {
		_, err := sink.Write(document)
		return err
	})
}
