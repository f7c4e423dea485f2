package cost

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// loadTokens is the length of the answers of the load.
const loadTokens = 20

// load is a number of callers that send requests at a steady rate.
type load struct {
	client   *http.Client
	group    sync.WaitGroup
	requests atomic.Int64
	failed   atomic.Int64
}

// startLoad sends requests through all entries, in turn for all customers, until the context ends.
func startLoad(ctx context.Context, running *fleet.Fleet, perSecond, customers int) *load {
	l := &load{client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	if perSecond <= 0 || customers <= 0 {
		return l
	}
	entries := running.Names("entry")
	l.group.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			location := running.URL(entries[n%len(entries)]) + "/v1/chat/completions"
			customer := fmt.Sprintf("customer-%04d", 1+n%customers)
			l.group.Go(func() { l.send(location, customer) })
		}
	})
	return l
}

func (l *load) send(location, customer string) {
	l.requests.Add(1)
	body := completion(streamRequest{Tokens: loadTokens, PauseUS: 20_000})
	request, err := newCall(context.Background(), location, customer, body)
	if err != nil {
		l.failed.Add(1)
		return
	}
	response, err := l.client.Do(request)
	if err != nil {
		l.failed.Add(1)
		return
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil || !strings.HasSuffix(string(answer), "data: [DONE]\n\n") {
		l.failed.Add(1)
	}
}

func (l *load) wait() (requests, failed int64) {
	l.group.Wait()
	return l.requests.Load(), l.failed.Load()
}

func completion(s streamRequest) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"burst":%d,"pause_us":%d,"messages":[{"role":"user","content":"hello"}]}`,
		fleet.ModelPool, s.Tokens, s.Burst, s.PauseUS)
}

func newCall(ctx context.Context, location, customer, body string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, location, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.Key(customer))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
