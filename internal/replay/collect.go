package replay

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/standin/backend"
)

// controlCounter counts the bytes of control traffic that a daemon sent and received.
const controlCounter = "amaranth_control_bytes_total"

// collect reads the stand-ins' logs and completes the measures.
func (c *Client) collect(ctx context.Context) (*Measures, error) {
	loads := make(map[string][]backend.Second)
	runs := make(map[string]int)
	for i := range c.trace.Deployment.Pools {
		pool := &c.trace.Deployment.Pools[i]
		for _, target := range pool.Targets {
			if err := c.collectTarget(ctx, pool, target.Name, loads, runs); err != nil {
				return nil, err
			}
		}
	}
	c.countRuns(runs)
	offset := c.started.Sub(c.started.Truncate(time.Second))
	return c.recorder.finish(c.trace, loads, offset), nil
}

// collectTarget adds the loads of an engine or the runs of a service.
func (c *Client) collectTarget(
	ctx context.Context, pool *Pool, name string, loads map[string][]backend.Second, runs map[string]int,
) error {
	address, ok := c.fleet.target(name)
	if !ok {
		return trace.BadParameter("fleet: targets: %q is missing", name)
	}
	if pool.Kind == catalogue.Service {
		return c.collectRuns(ctx, address, runs)
	}
	var peak backend.Peak
	if err := c.getJSON(ctx, address, "/standin/peak", &peak); err != nil {
		return err
	}
	loads[name] = sinceStart(peak.Seconds, c.started)
	return nil
}

// sinceStart numbers the seconds from the start of the run.
func sinceStart(seconds []backend.Second, started time.Time) []backend.Second {
	var shifted []backend.Second
	for _, second := range seconds {
		second.Unix -= started.Unix()
		if second.Unix >= 0 {
			shifted = append(shifted, second)
		}
	}
	return shifted
}

// collectRuns counts the runs of each body at a service since the start.
func (c *Client) collectRuns(ctx context.Context, address string, runs map[string]int) error {
	answer, err := c.get(ctx, address, "/standin/log")
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	scanner := bufio.NewScanner(answer.Body)
	scanner.Buffer(nil, maximumLine)
	for scanner.Scan() {
		var run backend.Run
		if err := json.Unmarshal(scanner.Bytes(), &run); err != nil {
			return trace.Wrap(err, "the log of %s", address)
		}
		if run.StartMS >= c.started.UnixMilli() {
			runs[run.Body]++
		}
	}
	return trace.Wrap(scanner.Err())
}

// countRuns compares how often calls ran with what their callers were told.
func (c *Client) countRuns(runs map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorder.update(func(m *Measures) {
		for body, outcome := range c.calls {
			m.NonRepeatable.add(outcome, runs[body])
		}
	})
}

func (n *NonRepeatable) add(outcome *callOutcome, runs int) {
	n.Calls++
	switch {
	case outcome.answered:
		n.Answered++
	case outcome.ran == reason.MayHaveRun:
		n.Unknown++
	case runs > 0:
		n.FalseNotRun++
	}
	if runs > 1 {
		n.RepeatedRuns++
	}
}

// controlBytes reads the counter of each daemon; daemons that can't be read are left out.
func (c *Client) controlBytes(ctx context.Context) map[string]float64 {
	counts := make(map[string]float64)
	for _, daemon := range append(append([]Daemon{}, c.fleet.Entries...), c.fleet.Gates...) {
		if daemon.Admin == "" {
			continue
		}
		if count, err := c.scrape(ctx, daemon.Admin); err == nil {
			counts[daemon.Name] = count
		}
	}
	return counts
}

// scrape returns the sum of the counter over all its labels.
func (c *Client) scrape(ctx context.Context, address string) (float64, error) {
	answer, err := c.get(ctx, address, "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = answer.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(answer.Body)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	total := 0.0
	for _, metric := range families[controlCounter].GetMetric() {
		total += metric.GetCounter().GetValue()
	}
	return total, nil
}

// controlRates computes bytes per second. A counter that fell belongs to a daemon that was replaced.
func controlRates(before, after map[string]float64, elapsed time.Duration) Control {
	control := Control{ByDaemon: make(map[string]float64)}
	total := 0.0
	for name, count := range after {
		first, known := before[name]
		if !known || count < first {
			continue
		}
		rate := round((count-first)/elapsed.Seconds(), 1)
		control.ByDaemon[name] = rate
		control.Worst = max(control.Worst, rate)
		total += rate
	}
	control.Daemons = len(control.ByDaemon)
	if control.Daemons > 0 {
		control.Mean = round(total/float64(control.Daemons), 1)
	}
	return control
}

func (c *Client) get(ctx context.Context, address, path string) (*http.Response, error) {
	return get(ctx, c.http, address, path)
}

func get(ctx context.Context, client *http.Client, address, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	answer, err := client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if answer.StatusCode != http.StatusOK {
		_ = answer.Body.Close()
		return nil, trace.Errorf("%s%s answered %s", address, path, answer.Status)
	}
	return answer, nil
}

func (c *Client) getJSON(ctx context.Context, address, path string, into any) error {
	answer, err := c.get(ctx, address, path)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	return trace.Wrap(json.NewDecoder(answer.Body).Decode(into))
}
