package main

import (
	"fmt"
	"strconv"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/replay"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// spec describes the fleet of a deployment.
func (a *arguments) spec(d *replay.Deployment) fleet.Spec {
	spec := fleet.Spec{Zones: d.Zones, GatesPerZone: a.Gates, EntriesPerZone: a.Entries}
	for i := range d.Pools {
		pool := &d.Pools[i]
		for _, target := range pool.Targets {
			spec.Targets = append(spec.Targets, fleet.TargetSpec{
				Name:    target.Name,
				Service: pool.Kind == catalogue.Service,
				Zone:    target.Zone,
				Flags:   targetFlags(pool),
			})
		}
	}
	spec.Document = func(addresses map[string]string) ([]byte, error) {
		var targets []replay.Backend
		for _, target := range spec.Targets {
			targets = append(targets, replay.Backend{Name: target.Name, Address: addresses[target.Name]})
		}
		return replay.Document(d, targets, 1)
	}
	return spec
}

// targetFlags gives a stand-in the speed and size that the trace names.
func targetFlags(pool *replay.Pool) []string {
	if pool.Kind == catalogue.Service {
		return []string{"--run-time", milliseconds(pool.RunTimeMS)}
	}
	engine := pool.Engine
	return []string{
		"--slots", strconv.Itoa(engine.Slots),
		"--token-time", milliseconds(engine.TokenMS),
		"--batch-token-time", milliseconds(engine.BatchTokenMS),
		"--prefill-time", milliseconds(engine.PrefillMS),
		"--cache-blocks", strconv.Itoa(engine.CacheBlocks),
		"--status-age", milliseconds(engine.ReportIntervalMS),
		"--model", pool.Name,
		"--version-loaded", replay.EngineVersion,
	}
}

func milliseconds(ms float64) string {
	return fmt.Sprint(time.Duration(ms * float64(time.Millisecond)))
}

// fleetFile says where the parts of the running fleet are.
func fleetFile(running *fleet.Fleet, harness string) *replay.Fleet {
	file := &replay.Fleet{Platform: running.Platform(), Harness: harness}
	for _, name := range running.Names("entry") {
		file.Entries = append(file.Entries, daemonOf(running, name))
	}
	for _, name := range running.Names("gate") {
		file.Gates = append(file.Gates, daemonOf(running, name))
	}
	for _, role := range []string{"engine", "service"} {
		for _, name := range running.Names(role) {
			file.Targets = append(file.Targets, replay.Backend{Name: name, Address: running.Address(name)})
		}
	}
	return file
}

func daemonOf(running *fleet.Fleet, name string) replay.Daemon {
	return replay.Daemon{Name: name, Zone: running.Zone(name), Address: running.Address(name), Admin: running.AdminAddress(name)}
}
