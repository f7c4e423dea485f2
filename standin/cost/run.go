package cost

import (
	"context"
	"os"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// Result is the cost of a run for each role.
type Result struct {
	Config
	WindowSeconds float64 `json:"window_s"`
	Gates         Role    `json:"gates"`
	Entries       Role    `json:"entries"`
	PlatformReads float64 `json:"platform_reads_per_s"`
	Requests      int64   `json:"requests"`
	Failed        int64   `json:"failed"`
	LoadAverage   float64 `json:"load_average"`
}

// Role holds the mean over the daemons of a role, and the highest.
type Role struct {
	Daemons     int     `json:"daemons"`
	BytesPerSec float64 `json:"control_bytes_per_s"`
	HighestRate float64 `json:"highest_control_bytes_per_s"`
	CorePercent float64 `json:"core_percent"`
	MemoryMB    float64 `json:"memory_mb"`
}

// Run starts a fleet, measures it over the window and ends it.
func Run(config Config, binaries string) (*Result, error) {
	directory, err := os.MkdirTemp("", "control-cost")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	targets, err := StartTargets(config.Targets)
	if err != nil {
		return nil, err
	}
	defer targets.Close()
	running, err := fleet.Start(config.spec(targets.Addresses), binaries, directory)
	if err != nil {
		return nil, err
	}
	defer running.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := startLoad(ctx, running, config.RequestsPerSec, config.Customers)
	time.Sleep(config.Settle)
	result, err := measure(running, config)
	if err != nil {
		return nil, err
	}
	cancel()
	result.Requests, result.Failed = load.wait()
	return result, nil
}

// measure takes samples before and after the window.
func measure(running *fleet.Fleet, config Config) (*Result, error) {
	names := append(running.Names("gate"), running.Names("entry")...)
	before := make(map[string]sample)
	for _, name := range names {
		s, err := take(running, name)
		if err != nil {
			return nil, err
		}
		before[name] = s
	}
	reads, err := platformReads(running)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	if err := passWindow(running, config); err != nil {
		return nil, err
	}
	elapsed := time.Since(started).Seconds()
	result := &Result{Config: config, WindowSeconds: elapsed, LoadAverage: loadAverage()}
	readsAfter, err := platformReads(running)
	if err != nil {
		return nil, err
	}
	result.PlatformReads = (readsAfter - reads) / elapsed
	if result.Gates, err = costOf(running, "gate", before, elapsed); err != nil {
		return nil, err
	}
	result.Entries, err = costOf(running, "entry", before, elapsed)
	return result, err
}

// passWindow waits until the window ends and publishes the changes at even distances.
func passWindow(running *fleet.Fleet, config Config) error {
	end := time.Now().Add(config.Window)
	if config.ChangesPerMinute > 0 {
		pause := time.Minute / time.Duration(config.ChangesPerMinute)
		for n := 0; time.Until(end) > pause; n++ {
			time.Sleep(pause)
			_, err := running.Publish(func(c *catalogue.Catalogue) {
				c.Customers[n%len(c.Customers)].Weight++
			})
			if err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Until(end))
	return nil
}

func costOf(running *fleet.Fleet, role string, before map[string]sample, elapsed float64) (Role, error) {
	var r Role
	for _, name := range running.Names(role) {
		after, err := take(running, name)
		if err != nil {
			return r, err
		}
		rate := (after.bytes - before[name].bytes) / elapsed
		r.Daemons++
		r.BytesPerSec += rate
		r.HighestRate = max(r.HighestRate, rate)
		r.CorePercent += 100 * (after.cpu - before[name].cpu) / elapsed
		r.MemoryMB += after.memoryKB / 1024
	}
	count := float64(max(r.Daemons, 1))
	r.BytesPerSec /= count
	r.CorePercent /= count
	r.MemoryMB /= count
	return r, nil
}
