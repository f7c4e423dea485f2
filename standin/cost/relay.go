package cost

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// RelayConfig is one measurement of the data path.
type RelayConfig struct {
	Callers int           `json:"callers"`
	Tokens  int           `json:"tokens"`
	Burst   int           `json:"burst"`
	Pause   time.Duration `json:"pause_ns"`
	Window  time.Duration `json:"-"`
}

// RelayResult compares answers through entry and gate with direct ones.
type RelayResult struct {
	RelayConfig
	Requests           int64   `json:"requests"`
	TokensPerSecond    float64 `json:"tokens_per_s"`
	EntryCores         float64 `json:"entry_cores"`
	GateCores          float64 `json:"gate_cores"`
	TokensPerEntryCore float64 `json:"tokens_per_s_per_entry_core"`
	TokensPerGateCore  float64 `json:"tokens_per_s_per_gate_core"`
	RequestsPerCore    float64 `json:"requests_per_s_per_core_of_both"`
	Relayed            Times   `json:"relayed"`
	Direct             Times   `json:"direct"`
	LoadAverage        float64 `json:"load_average"`
}

// Times are in milliseconds.
type Times struct {
	FirstP50 float64 `json:"first_token_p50_ms"`
	FirstP99 float64 `json:"first_token_p99_ms"`
	InterP50 float64 `json:"inter_token_p50_ms"`
	InterP99 float64 `json:"inter_token_p99_ms"`
}

// Relay starts one entry and one gate in front of fast engines and measures the same calls through them and direct.
func Relay(config RelayConfig, binaries string) (*RelayResult, error) {
	directory, err := os.MkdirTemp("", "relay-cost")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	targets, err := StartTargets(1)
	if err != nil {
		return nil, err
	}
	defer targets.Close()
	fleetConfig := Config{Daemons: 2, Zones: 1, Targets: 1, Customers: 0, Plain: 1}
	running, err := fleet.Start(fleetConfig.spec(targets.Addresses), binaries, directory)
	if err != nil {
		return nil, err
	}
	defer running.Close()
	time.Sleep(2 * time.Second)
	return compare(config, running, targets.Addresses[0])
}

func compare(config RelayConfig, running *fleet.Fleet, target string) (*RelayResult, error) {
	entry, gate := running.Names("entry")[0], running.Names("gate")[0]
	if _, err := config.call("http://"+target, time.Second); err != nil {
		return nil, err
	}
	direct, err := config.call("http://"+target, config.Window)
	if err != nil {
		return nil, err
	}
	if _, err := config.call(running.URL(entry), time.Second); err != nil {
		return nil, err
	}
	before, err := processorOf(running, entry, gate)
	if err != nil {
		return nil, err
	}
	relayed, err := config.call(running.URL(entry), config.Window)
	if err != nil {
		return nil, err
	}
	after, err := processorOf(running, entry, gate)
	if err != nil {
		return nil, err
	}
	seconds := relayed.elapsed.Seconds()
	result := &RelayResult{
		RelayConfig:     config,
		Requests:        relayed.requests,
		TokensPerSecond: float64(relayed.tokens) / seconds,
		EntryCores:      (after[0] - before[0]) / seconds,
		GateCores:       (after[1] - before[1]) / seconds,
		Relayed:         relayed.times(),
		Direct:          direct.times(),
		LoadAverage:     loadAverage(),
	}
	result.TokensPerEntryCore = result.TokensPerSecond / result.EntryCores
	result.TokensPerGateCore = result.TokensPerSecond / result.GateCores
	result.RequestsPerCore = float64(relayed.requests) / seconds / (result.EntryCores + result.GateCores)
	return result, nil
}

func processorOf(running *fleet.Fleet, names ...string) ([]float64, error) {
	var seconds []float64
	for _, name := range names {
		s, err := processorSeconds(running.PID(name))
		if err != nil {
			return nil, err
		}
		seconds = append(seconds, s)
	}
	return seconds, nil
}

// calls are the answers of all callers.
type calls struct {
	mu       sync.Mutex
	first    *hdrhistogram.Histogram
	inter    *hdrhistogram.Histogram
	requests int64
	tokens   int64
	elapsed  time.Duration
	err      error
}

func newCalls() *calls {
	return &calls{
		first: hdrhistogram.New(1, int64(time.Minute), 3),
		inter: hdrhistogram.New(1, int64(time.Minute), 3),
	}
}

// call makes each caller send one request after the other for the given time.
func (c RelayConfig) call(base string, length time.Duration) (*calls, error) {
	total := newCalls()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}
	defer client.CloseIdleConnections()
	started := time.Now()
	var group sync.WaitGroup
	for range c.Callers {
		group.Go(func() {
			own := newCalls()
			for time.Since(started) < length && own.err == nil {
				own.err = c.once(client, base, own)
			}
			total.add(own)
		})
	}
	group.Wait()
	total.elapsed = time.Since(started)
	return total, total.err
}

func (c RelayConfig) once(client *http.Client, base string, own *calls) error {
	body := completion(streamRequest{Tokens: c.Tokens, Burst: c.Burst, PauseUS: c.Pause.Microseconds()})
	request, err := newCall(context.Background(), base+"/v1/chat/completions", "customer-0001", body)
	if err != nil {
		return err
	}
	sent := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return own.read(response, sent, c.Tokens)
}

// read times the events of one answer and checks that it is whole.
func (c *calls) read(response *http.Response, sent time.Time, want int) error {
	lines := bufio.NewReaderSize(response.Body, 64<<10)
	last, tokens := sent, 0
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return fmt.Errorf("the answer ended after %d tokens with status %d: %w", tokens, response.StatusCode, err)
		}
		if bytes.HasPrefix(line, []byte("data: [DONE]")) {
			break
		}
		if !bytes.HasPrefix(line, []byte("id: ")) {
			continue
		}
		now := time.Now()
		if tokens == 0 {
			_ = c.first.RecordValue(int64(now.Sub(last)))
		} else {
			_ = c.inter.RecordValue(int64(now.Sub(last)))
		}
		last = now
		tokens++
	}
	if tokens != want {
		return fmt.Errorf("the answer has %d tokens, want %d", tokens, want)
	}
	c.requests++
	c.tokens += int64(tokens)
	return nil
}

func (c *calls) add(own *calls) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first.Merge(own.first)
	c.inter.Merge(own.inter)
	c.requests += own.requests
	c.tokens += own.tokens
	if own.err != nil {
		c.err = own.err
	}
}

func (c *calls) times() Times {
	milliseconds := func(h *hdrhistogram.Histogram, quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond)
	}
	return Times{
		FirstP50: milliseconds(c.first, 50),
		FirstP99: milliseconds(c.first, 99),
		InterP50: milliseconds(c.inter, 50),
		InterP99: milliseconds(c.inter, 99),
	}
}
