package daemon

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/statechart"
)

var lifecycleChart = statechart.MustLoad(statechart.DaemonVocabulary())

// Lifecycle tracks the state of a daemon from start to exit with the daemon statechart. Events that the current state
// does not accept are ignored.
type Lifecycle struct {
	log *logrus.Entry
	// handOver is called when the daemon begins to drain.
	handOver func()

	mu    sync.Mutex
	chart statechart.Instance[statechart.DaemonState, statechart.DaemonEvent, statechart.DaemonAction]
	// ready and draining mirror the state for the traffic path, which must not take the lock.
	ready    atomic.Bool
	draining atomic.Bool
}

// NewLifecycle returns the lifecycle of a daemon that is starting.
func NewLifecycle(log *logrus.Entry) *Lifecycle {
	return &Lifecycle{log: log, chart: lifecycleChart.New(), handOver: func() {}}
}

// OnHandOver sets the function that is called when the daemon begins to drain.
func (l *Lifecycle) OnHandOver(handOver func()) { l.handOver = handOver }

// Ready reports whether the daemon accepts new requests.
func (l *Lifecycle) Ready() bool { return l.ready.Load() }

// Draining reports whether the daemon is completing requests in flight and accepts no new ones.
func (l *Lifecycle) Draining() bool { return l.draining.Load() }

// State returns the current state.
func (l *Lifecycle) State() statechart.DaemonState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chart.State()
}

// Prepared signals that the daemon has everything it needs to serve. Only the first call has an effect.
func (l *Lifecycle) Prepared() { l.fire(statechart.DaemonOnPrepared) }

// Terminate begins the drain.
func (l *Lifecycle) Terminate() { l.fire(statechart.DaemonOnTerminate) }

// Finished ends a drain after all requests have completed.
func (l *Lifecycle) Finished() { l.fire(statechart.DaemonOnFinished) }

// LimitReached ends a drain that exceeded its time limit.
func (l *Lifecycle) LimitReached() { l.fire(statechart.DaemonOnLimitReached) }

func (l *Lifecycle) fire(event statechart.DaemonEvent) {
	l.mu.Lock()
	var actions []statechart.DaemonAction
	if l.chart.Lists(event) {
		actions, _ = l.chart.Fire(event)
	}
	l.mu.Unlock()
	for _, action := range actions {
		l.perform(action)
	}
}

func (l *Lifecycle) perform(action statechart.DaemonAction) {
	switch action {
	case statechart.DaemonDoReportReady:
		l.ready.Store(true)
		l.log.Info("ready")
	case statechart.DaemonDoReportUnready:
		l.ready.Store(false)
		l.draining.Store(true)
		l.log.Info("draining")
	case statechart.DaemonDoHandOver:
		l.handOver()
	case statechart.DaemonDoExitSuccess:
		l.log.Info("all work is finished")
	case statechart.DaemonDoExitFailure:
		l.log.Error("stopping with work unfinished")
	}
}
