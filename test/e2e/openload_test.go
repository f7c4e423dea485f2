package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// outcome is what came of one streamed chat.
type outcome struct {
	sent       time.Time
	first      time.Duration
	ended      time.Time
	whole      bool
	status     int
	code, ran  string
	retryAfter string
}

// openLoad sends streamed chats of a customer at a constant rate, whether or not earlier ones have ended.
type openLoad struct {
	customer string
	rate     float64
	tokens   int
	length   time.Duration
}

func (l openLoad) run(f *fleet.Fleet) []outcome {
	entries := f.Names("entry")
	count := int(l.rate * l.length.Seconds())
	outcomes := make([]outcome, count)
	begin := time.Now()
	var running sync.WaitGroup
	for i := range outcomes {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(i) / l.rate * float64(time.Second)))))
		body := chatBody(fmt.Sprintf("%s %d %d", l.customer, begin.UnixNano(), i), l.tokens, true)
		entry := f.URL(entries[i%len(entries)])
		running.Go(func() { outcomes[i] = streamOnce(entry, l.customer, body) })
	}
	running.Wait()
	return outcomes
}

// openClient keeps the connections of many requests at once.
var openClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}, Timeout: 40 * time.Second}

func streamOnce(entry, customer string, body []byte) outcome {
	o := outcome{sent: time.Now()}
	request, err := http.NewRequest(http.MethodPost, entry+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return o
	}
	request.Header.Set("Authorization", "Bearer "+fleet.Key(customer))
	response, err := openClient.Do(request)
	if err != nil {
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.status, o.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
	if o.status != http.StatusOK {
		var text bytes.Buffer
		_, _ = text.ReadFrom(response.Body)
		o.code, o.ran = reply{body: text.String()}.errorCode()
		return o
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if o.first == 0 {
			o.first = time.Since(o.sent)
		}
		if lines.Text() == "data: [DONE]" {
			o.whole = true
		}
	}
	o.ended = time.Now()
	return o
}

// summary is the share of whole answers and a quantile of the times to the first token.
type summary struct {
	sent, whole int
	success     float64
	first95     time.Duration
	codes       map[string]int
}

func (s summary) String() string {
	return fmt.Sprintf("%d of %d whole, first token p95 %s, refused %v", s.whole, s.sent, s.first95.Round(time.Millisecond), s.codes)
}

func summarize(outcomes []outcome) summary {
	s := summary{sent: len(outcomes), codes: make(map[string]int)}
	var firsts []time.Duration
	for _, o := range outcomes {
		switch {
		case o.whole:
			s.whole++
			firsts = append(firsts, o.first)
		case o.code != "":
			s.codes[o.code]++
		default:
			s.codes[fmt.Sprintf("status %d", o.status)]++
		}
	}
	if len(firsts) > 0 {
		slices.Sort(firsts)
		s.first95 = firsts[len(firsts)*95/100]
	}
	s.success = float64(s.whole) / float64(max(s.sent, 1))
	return s
}
