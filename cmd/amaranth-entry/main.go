// Command amaranth-entry runs an entry daemon.
package main

import (
	"os"

	"github.com/alexflint/go-arg"

	"github.com/amaranthlb/amaranthlb/internal/daemon"
	"github.com/amaranthlb/amaranthlb/internal/entry"
	"github.com/amaranthlb/amaranthlb/internal/settings"
)

type arguments struct {
	Settings string `arg:"--settings,required" help:"YAML settings file" placeholder:"FILE"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

func (arguments) Description() string {
	return "Runs an entry daemon of the router fleet. SIGTERM drains it; a second signal terminates it at once."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	s, err := settings.LoadEntry(args.Settings)
	if err != nil {
		os.Exit(daemon.ReportSettingsError(err))
	}
	if args.Check {
		return
	}
	log := daemon.NewLogger(s.Common)
	entryDaemon, err := entry.New(s, log)
	if err != nil {
		os.Exit(daemon.ReportSettingsError(err))
	}
	os.Exit(daemon.Run(log, entryDaemon.Run))
}
