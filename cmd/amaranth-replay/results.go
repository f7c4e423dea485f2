package main

import (
	"encoding/json"
	"io"
	"os"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/replay"
)

// measureOptions holds the arguments shared by the commands that take measurements.
type measureOptions struct {
	Trace       string `arg:"--trace,required" help:"trace file"`
	Outcomes    string `arg:"--outcomes" help:"YAML file with bounds of the measures"`
	Report      string `arg:"--report" help:"file for an HTML report"`
	NoBaselines bool   `arg:"--no-baselines" help:"leave out the baselines"`
}

func (r *measureOptions) read() (*replay.Trace, *replay.Outcomes, error) {
	outcomes := &replay.Outcomes{}
	if r.Outcomes != "" {
		var err error
		if outcomes, err = replay.ReadOutcomes(r.Outcomes); err != nil {
			return nil, nil, err
		}
	}
	recorded, err := readTrace(r.Trace)
	return recorded, outcomes, err
}

// finish runs the baselines, checks the outcomes, and writes the result and the report.
func (r *measureOptions) finish(
	recorded *replay.Trace, outcomes *replay.Outcomes, policy string, seed uint64, measures *replay.Measures,
) (bool, error) {
	result := &replay.Result{
		Trace: recorded.Deployment.Name, Seed: recorded.Deployment.Seed, Policy: policy, Measures: measures,
	}
	if !r.NoBaselines {
		baselines, err := replay.Baselines(recorded, policy, seed)
		if err != nil {
			return false, err
		}
		result.Baselines = baselines
	}
	if err := outcomes.Check(result); err != nil {
		return false, err
	}
	for _, missed := range result.Missed {
		logrus.Warn("outcome missed: " + missed)
	}
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
		return false, err
	}
	return len(result.Missed) == 0, r.writeReport(result)
}

func (r *measureOptions) writeReport(result *replay.Result) error {
	if r.Report == "" {
		return nil
	}
	return writeOutput(r.Report, func(sink io.Writer) error { return replay.WriteReport(sink, result) })
}

func readTrace(name string) (*replay.Trace, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, trace.BadParameter("trace: %v", err)
	}
	defer func() { _ = file.Close() }()
	return replay.Read(file)
}

// writeOutput writes to a file, or to standard output if the name is "-".
func writeOutput(name string, write func(io.Writer) error) error {
	if name == "-" {
		return write(os.Stdout)
	}
	file, err := os.Create(name)
	if err != nil {
		return trace.BadParameter("%v", err)
	}
	return trace.NewAggregate(write(file), file.Close())
}
