// Command standin-service runs a stand-in for a plain service.
package main

import (
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/standin/backend"
	"github.com/amaranthlb/amaranthlb/standin/service"
)

type flags struct {
	Listen    string        `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	Name      string        `arg:"--name" default:"service" help:"name in the process log"`
	RunTime   time.Duration `arg:"--run-time" default:"20ms" help:"time that each call takes"`
	StatusAge time.Duration `arg:"--status-age" default:"200ms" help:"lag of the load figures"`
	LogFile   string        `arg:"--log-file" help:"file that gets a line for each start and end of a run"`
}

func main() {
	var f flags
	arg.MustParse(&f)
	config := service.Config{RunTime: f.RunTime, StatusAge: f.StatusAge, Exit: backend.CrashExit}
	file, err := backend.OpenLog(f.LogFile)
	if err != nil {
		logrus.WithError(err).Error("can't open the log file")
		os.Exit(1)
	}
	if file != nil {
		config.LogFile = file
	}
	os.Exit(backend.Main(f.Name, service.New(config), f.Listen))
}
