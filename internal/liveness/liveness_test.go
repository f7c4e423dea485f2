package liveness

import (
	"testing"
	"time"
)

const (
	testInterval = 300 * time.Millisecond
	testTimeout  = 700 * time.Millisecond
	testTick     = 50 * time.Millisecond
)

// Guards against a silent server that is relied on, and against a slow one, or a single lost response, taken for silence.
func TestSilence(t *testing.T) {
	tests := []struct {
		name string
		// delay is the time until a ping is answered; answered selects the pings with a response.
		delay    time.Duration
		answered func(ping int, at time.Duration) bool
		// silentBy is the latest time at which the server must count as silent; 0 if never.
		silentBy time.Duration
	}{
		{"responsive", 5 * time.Millisecond, func(int, time.Duration) bool { return true }, 0},
		{"slow", 600 * time.Millisecond, func(int, time.Duration) bool { return true }, 0},
		{"every other response lost", 5 * time.Millisecond, func(ping int, _ time.Duration) bool { return ping%2 == 0 }, 0},
		{"silent after 2 s", 5 * time.Millisecond, func(_ int, at time.Duration) bool { return at < 2*time.Second }, 2*time.Second + testInterval + testTimeout + 2*testTick},
		{"never responds", 0, func(int, time.Duration) bool { return false }, testInterval + testTimeout + 2*testTick},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			monitor := New(testInterval, testTimeout)
			monitor.Reset(0)
			var responses []time.Duration
			pings := 0
			for now := time.Duration(0); now < 6*time.Second; now += testTick {
				for len(responses) > 0 && responses[0] <= now {
					monitor.Answered(now)
					responses = responses[1:]
				}
				if monitor.PingDue(now) {
					if test.answered(pings, now) {
						responses = append(responses, now+test.delay)
					}
					pings++
				}
				if monitor.Silent(now) {
					if test.silentBy == 0 || now > test.silentBy {
						t.Errorf("silent at %v, want by %v (0: never)", now, test.silentBy)
					}
					return
				}
			}
			if test.silentBy != 0 {
				t.Errorf("not silent, want by %v", test.silentBy)
			}
		})
	}
}

// Guards against pings that cost more than one call per interval.
func TestOnePingPerInterval(t *testing.T) {
	monitor := New(testInterval, testTimeout)
	pings := 0
	for now := time.Duration(0); now < 3*time.Second; now += testTick {
		if monitor.PingDue(now) {
			pings++
		}
	}
	if pings > 10 {
		t.Errorf("%d pings in 3 s, want at most 10", pings)
	}
}
