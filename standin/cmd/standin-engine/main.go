// Command standin-engine runs a stand-in for a model engine.
package main

import (
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/standin/backend"
	"github.com/amaranthlb/amaranthlb/standin/engine"
)

type flags struct {
	Listen         string        `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	Name           string        `arg:"--name" default:"engine" help:"name in the process log"`
	Slots          int           `arg:"--slots" default:"16" help:"requests in one batch"`
	TokenTime      time.Duration `arg:"--token-time" default:"2ms" help:"time of a decode step with one request"`
	BatchTokenTime time.Duration `arg:"--batch-token-time" default:"100us" help:"added to a decode step for each further request"`
	PrefillTime    time.Duration `arg:"--prefill-time" default:"50us" help:"time per prompt token that is not cached"`
	CacheBlocks    int           `arg:"--cache-blocks" default:"4096" help:"memory for cached blocks of 16 words"`
	Model          string        `arg:"--model" help:"model loaded at the start; empty serves any name"`
	Version        string        `arg:"--version-loaded" help:"version loaded at the start"`
	Role           string        `arg:"--role" default:"serve" help:"role at the start"`
	Adapters       []string      `arg:"--adapters" help:"adapters loaded at the start"`
	StatusAge      time.Duration `arg:"--status-age" default:"200ms" help:"lag of the load figures"`
	EventDelay     time.Duration `arg:"--event-delay" default:"200ms" help:"lag of cache events"`
	EventGap       float64       `arg:"--event-gap" default:"0.02" help:"part of the cache events that is left out"`
	IgnoreFencing  bool          `arg:"--ignore-fencing" help:"accept orders with any fencing number"`
	LoadTime       time.Duration `arg:"--load-time" default:"200ms" help:"time to load weights"`
	LogFile        string        `arg:"--log-file" help:"file that gets a line for each start and end of a run"`
}

func main() {
	var f flags
	arg.MustParse(&f)
	config, err := f.config()
	if err != nil {
		logrus.WithError(err).Error("can't open the log file")
		os.Exit(1)
	}
	os.Exit(backend.Main(f.Name, engine.New(config), f.Listen))
}

func (f flags) config() (engine.Config, error) {
	config := engine.Default()
	config.Slots = f.Slots
	config.TokenTime = f.TokenTime
	config.BatchTokenTime = f.BatchTokenTime
	config.PrefillTime = f.PrefillTime
	config.CacheBlocks = f.CacheBlocks
	config.Model = f.Model
	config.Version = f.Version
	config.Role = f.Role
	config.Adapters = f.Adapters
	config.StatusAge = f.StatusAge
	config.EventDelay = f.EventDelay
	config.EventLossRate = f.EventGap
	config.ChecksFencing = !f.IgnoreFencing
	config.LoadTime = f.LoadTime
	config.Exit = backend.CrashExit
	file, err := backend.OpenLog(f.LogFile)
	if file != nil {
		config.LogFile = file
	}
	return config, err
}
