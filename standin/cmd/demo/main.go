// Command demo starts the fleet of a trace on loopback as separate processes, replays the trace against it, and prints
// answers and measures. It exits with 0 only if all outcomes are kept.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/replay"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

type arguments struct {
	Trace    string `arg:"--trace" default:"traces/demo.jsonl" help:"trace file"`
	Outcomes string `arg:"--outcomes" default:"traces/demo.outcomes.yaml" help:"bounds that the run has to keep"`
	Binaries string `arg:"--binaries" default:"bin" help:"folder with the built binaries"`
	Output   string `arg:"--output" default:"demo-output" help:"folder for settings and logs"`
	Gates    int    `arg:"--gates" default:"2" help:"gates in each zone"`
	Entries  int    `arg:"--entries" default:"2" help:"entries in each zone"`
	// Baselines are needed by outcomes that compare with other policies.
	Baselines bool `arg:"--baselines" help:"also simulate the baseline policies"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	kept, err := args.run(ctx)
	stop()
	if err != nil {
		logrus.Error(trace.UserMessage(err))
		os.Exit(1)
	}
	if !kept {
		os.Exit(1)
	}
}

func (a *arguments) run(ctx context.Context) (bool, error) {
	recorded, outcomes, err := a.read()
	if err != nil {
		return false, err
	}
	if err := os.RemoveAll(a.Output); err != nil {
		return false, err
	}
	if err := os.MkdirAll(a.Output, 0o755); err != nil {
		return false, err
	}
	output, err := filepath.Abs(a.Output)
	if err != nil {
		return false, err
	}
	running, err := fleet.Start(a.spec(&recorded.Deployment), a.Binaries, output)
	if err != nil {
		return false, err
	}
	defer running.Close()
	fmt.Printf("fleet %s: %d gates, %d entries, %d targets, all separate processes; logs in %s\n", recorded.Deployment.Name,
		len(running.Names("gate")), len(running.Names("entry")), len(running.Names("engine"))+len(running.Names("service")), a.Output)
	if err := showAnswer(ctx, running, &recorded.Deployment); err != nil {
		return false, err
	}
	measures, err := replayTrace(ctx, running, recorded)
	if err != nil {
		return false, err
	}
	return a.finish(recorded, outcomes, measures)
}

func (a *arguments) read() (*replay.Trace, *replay.Outcomes, error) {
	file, err := os.Open(a.Trace)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = file.Close() }()
	recorded, err := replay.Read(file)
	if err != nil {
		return nil, nil, err
	}
	outcomes, err := replay.ReadOutcomes(a.Outcomes)
	return recorded, outcomes, err
}

// replayTrace sends the trace to the fleet. Faults that need processes to be killed or started come to a harness.
func replayTrace(ctx context.Context, running *fleet.Fleet, recorded *replay.Trace) (*replay.Measures, error) {
	harness, err := startHarness(running)
	if err != nil {
		return nil, err
	}
	defer harness.close()
	client := replay.NewClient(recorded, fleetFile(running, harness.url()), nil)
	measures, err := client.Run(ctx)
	if err != nil {
		return nil, err
	}
	return measures, ctx.Err()
}

func (a *arguments) finish(recorded *replay.Trace, outcomes *replay.Outcomes, measures *replay.Measures) (bool, error) {
	result := &replay.Result{Trace: recorded.Deployment.Name, Seed: recorded.Deployment.Seed, Policy: "live", Measures: measures}
	if a.Baselines {
		baselines, err := replay.Baselines(recorded, "", recorded.Deployment.Seed)
		if err != nil {
			return false, err
		}
		result.Baselines = baselines
	}
	if err := outcomes.Check(result); err != nil {
		return false, err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result); err != nil {
		return false, err
	}
	summary(measures)
	for _, missed := range result.Missed {
		fmt.Println("outcome missed:", missed)
	}
	if len(result.Missed) == 0 {
		fmt.Println("all outcomes kept")
	}
	return len(result.Missed) == 0, nil
}

// summary prints the three measures of the users.
func summary(m *replay.Measures) {
	fmt.Printf("\nanswers: %d of %d requests whole and exact; %d non-repeatable calls, %d ran more than once\n",
		m.Answered, m.Requests, m.NonRepeatable.Calls, m.NonRepeatable.RepeatedRuns)
	fmt.Printf("cache reuse: %.3f of what an oracle could reuse\n", m.Reuse.OfOracle)
	fmt.Printf("load skew: max/mean %.2f median, %.2f worst second\n", m.Skew.Median, m.Skew.Worst)
	fmt.Printf("control traffic: %.0f bytes/s per daemon, %.0f for the highest\n", m.Control.Mean, m.Control.Worst)
}
