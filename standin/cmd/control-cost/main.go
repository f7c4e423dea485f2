// Command control-cost measures the control traffic, processor time and memory of the daemons of a fleet of real
// processes on loopback. It prints one JSON line for each run, and with --series the slopes over the series of sizes.
package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/standin/cost"
)

type arguments struct {
	Daemons   int           `arg:"--daemons" default:"8" help:"gates and entries together"`
	Zones     int           `arg:"--zones" default:"4"`
	Targets   int           `arg:"--targets" default:"12"`
	Customers int           `arg:"--customers" default:"10" help:"customers with limits"`
	Limit     int           `arg:"--limit" default:"1000" help:"requests in a second that each customer with limits may make"`
	Plain     int           `arg:"--plain-customers" help:"further customers without limits, which enlarge the catalogue"`
	Changes   int           `arg:"--changes" help:"catalogue changes in a minute"`
	Requests  int           `arg:"--requests" help:"requests in a second; 0 measures an idle fleet"`
	Settle    time.Duration `arg:"--settle" default:"30s" help:"time before the window; shares of customers take about 20s to settle"`
	Window    time.Duration `arg:"--window" default:"10s"`
	Binaries  string        `arg:"--binaries" default:"bin" help:"folder with the built binaries"`
	Series    []string      `arg:"--series" help:"run the series of sizes with these names (daemons, targets, customers, changes) and fit slopes"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := args.run(); err != nil {
		logrus.Error(trace.UserMessage(err))
		os.Exit(1)
	}
}

func (a *arguments) config() cost.Config {
	return cost.Config{
		Daemons:          a.Daemons,
		Zones:            a.Zones,
		Targets:          a.Targets,
		Customers:        a.Customers,
		Limit:            a.Limit,
		Plain:            a.Plain,
		ChangesPerMinute: a.Changes,
		RequestsPerSec:   a.Requests,
		Settle:           a.Settle,
		Window:           a.Window,
	}
}

func (a *arguments) run() error {
	output := json.NewEncoder(os.Stdout)
	if len(a.Series) == 0 {
		result, err := cost.Run(a.config(), a.Binaries)
		if err != nil {
			return err
		}
		return output.Encode(result)
	}
	for _, name := range a.Series {
		series, ok := cost.FindSeries(name)
		if !ok {
			return trace.BadParameter("there is no series %q", name)
		}
		if err := a.runSeries(series, output); err != nil {
			return err
		}
	}
	return nil
}

func (a *arguments) runSeries(series cost.Series, output *json.Encoder) error {
	var results []*cost.Result
	for _, value := range series.Values {
		config := a.config()
		series.Set(&config, value)
		result, err := cost.Run(config, a.Binaries)
		if err != nil {
			return err
		}
		results = append(results, result)
		if err := output.Encode(result); err != nil {
			return err
		}
	}
	for _, fit := range cost.Fits(series, results) {
		if err := output.Encode(fit); err != nil {
			return err
		}
	}
	return nil
}
