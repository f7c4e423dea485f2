// Command relay-cost measures the data path with one entry and one gate as real processes: tokens per second per core,
// and first-token and inter-token times beside those of direct calls in the same run. It prints one JSON line.
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
	Callers  int           `arg:"--callers" default:"16" help:"callers that send one request after the other"`
	Tokens   int           `arg:"--tokens" default:"500" help:"tokens of each answer"`
	Burst    int           `arg:"--burst" default:"1" help:"tokens that are ready at once"`
	Pause    time.Duration `arg:"--pause" help:"time between bursts; without one the engine streams as fast as it can"`
	Window   time.Duration `arg:"--window" default:"5s"`
	Binaries string        `arg:"--binaries" default:"bin" help:"folder with the built binaries"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	config := cost.RelayConfig{Callers: args.Callers, Tokens: args.Tokens, Burst: args.Burst, Pause: args.Pause, Window: args.Window}
	result, err := cost.Relay(config, args.Binaries)
	if err == nil {
		err = json.NewEncoder(os.Stdout).Encode(result)
	}
	if err != nil {
		logrus.Error(trace.UserMessage(err))
		os.Exit(1)
	}
}
