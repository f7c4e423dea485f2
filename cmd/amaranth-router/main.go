// Command amaranth-router runs the complete router on a VM of the platform.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/daemon"
	"github.com/amaranthlb/amaranthlb/internal/directory"
	"github.com/amaranthlb/amaranthlb/internal/eventlog"
	"github.com/amaranthlb/amaranthlb/internal/router"
	"github.com/amaranthlb/amaranthlb/internal/telemetry"
	"github.com/amaranthlb/amaranthlb/platform"
)

// Limits of the process.
const (
	// memoryLimitFraction is the fraction of the VM's memory limit at which garbage collection becomes more frequent.
	memoryLimitFraction = 0.6
	// heldFraction is the fraction of the VM's memory that response data may take before it is passed on.
	heldFraction = 0.1
	// requestFraction is the fraction of the VM's memory that request bodies may take. It leaves room for the buffers that
	// are replaced while bodies grow.
	requestFraction = 0.15
	// headFraction is the fraction of the VM's memory that incomplete request heads may take. Ordinary heads are complete
	// with their first packet.
	headFraction = 0.1
	// connectionFraction is the fraction of the VM's memory that clients' connections may take, at connectionBytes each:
	// the buffers and the stack of a connection. socketFraction is the fraction of the VM's sockets that they may take; the
	// rest is for targets, other routers and the store.
	connectionFraction = 0.1
	connectionBytes    = 16 << 10
	socketFraction     = 0.8
	// reservedDescriptors are those that the platform reserves on a VM.
	reservedDescriptors = 200
	// withdrawnGraceFraction is the fraction of the drain bound for which a target without an entry may still be used
	// as a last resort. The rest is reserved for the propagation delay of the removal.
	withdrawnGraceFraction = 0.4
	// logCloseTimeout bounds the wait for the last log lines to be written.
	logCloseTimeout = 200 * time.Millisecond
)

type options struct {
	Settings string `arg:"--settings" help:"path of the settings file [default: the path that the platform gives]"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
	LogLevel string `arg:"--log-level" default:"info" help:"debug, info, warning or error"`
}

// Description implements arg.Described.
func (options) Description() string { return "Routes callers' requests to targets." }

func main() { os.Exit(run()) }

func run() int {
	var opts options
	arg.MustParse(&opts)
	path := opts.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return daemon.ReportSettingsError(err)
	}
	level, err := logrus.ParseLevel(opts.LogLevel)
	if err != nil {
		return daemon.ReportSettingsError(err)
	}
	if opts.Check {
		fmt.Println("settings are good")
		return daemon.ExitSuccess
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryLimitFraction))
	}
	log := eventlog.Open(os.Stdout, level, logrus.Fields{"vm": settings.Name})
	defer log.Close(logCloseTimeout)
	meters, err := telemetry.New()
	if err != nil {
		log.WithError(err).Error("failed to set up metrics")
		return daemon.ExitFailed
	}
	daemonRouter := router.New(routerConfig(settings), platform.Wire{}, platform.NewStore(settings.StoreAddress), platform.NewEngines(), platform.Decoder{}, log, meters)
	checkSettingsOnHangup(path, log)
	return daemon.Run(log.Entry, func(ctx context.Context) error { return daemonRouter.Run(ctx) })
}

// routerConfig converts the platform's settings to the router's configuration.
func routerConfig(settings *platform.Settings) router.Config {
	configPrefix := platform.ConfigKey
	if settings.EvacuationBound > 0 {
		configPrefix = platform.OperatorPrefix
	}
	return router.Config{
		Name:           settings.Name,
		Zone:           settings.Zone,
		FrontAddress:   settings.FrontAddress,
		ReadyAddress:   settings.ReadyAddress,
		ReadyPath:      platform.ReadyPath,
		PeerAddress:    settings.PeerAddress,
		MetricsAddress: net.JoinHostPort(settings.IP, strconv.Itoa(settings.FirstPort)),
		Seeds:          settings.Seeds,
		Prefixes: map[directory.Range]string{
			directory.Config:  configPrefix,
			directory.Targets: platform.TargetPrefix,
		},
		StopGrace:      settings.StopGrace,
		WithdrawnGrace: time.Duration(float64(settings.DrainBound) * withdrawnGraceFraction),
		RetryRatio:     settings.RetryRatio,
		RetrySlack:     settings.RetrySlack,
		RetryWindow:    settings.RetryWindow,
		HeldBytes:      int64(float64(settings.MemoryMB<<20) * heldFraction),
		RequestBytes:   int64(float64(settings.MemoryMB<<20) * requestFraction),
		Connections:    maxConnections(settings),
		HeadMemory:     int64(float64(settings.MemoryMB<<20) * headFraction),
		LoadMultiple:   settings.LoadMultiple,
		WarmupRatio:    settings.WarmupRatio,
		WarmupSlack:    settings.WarmupSlack,
		FirstStart:     settings.FirstStart,
		Evacuations:    settings.EvacuationBound > 0,
	}
}

// maxConnections returns the number of clients' connections that the VM has room for; 0 if the settings state neither its
// memory nor its descriptors.
func maxConnections(settings *platform.Settings) int {
	limit := 0
	if settings.MemoryMB > 0 {
		limit = int(float64(settings.MemoryMB<<20) * connectionFraction / connectionBytes)
	}
	if sockets := settings.MaxDescriptors - reservedDescriptors; sockets > 0 {
		if bySockets := int(float64(sockets) * socketFraction); limit == 0 || bySockets < limit {
			limit = bySockets
		}
	}
	return limit
}

// checkSettingsOnHangup validates the settings file on SIGHUP and logs the result; it applies no change. Settings are
// fixed for the lifetime of the process, apart from the seeds, which are superseded by messages from other routers.
func checkSettingsOnHangup(path string, log *eventlog.Log) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			if _, err := platform.LoadSettings(path); err != nil {
				log.WithError(err).Error("settings file is invalid")
				continue
			}
			log.Info("settings file is valid; changes take effect after a restart")
		}
	}()
}
