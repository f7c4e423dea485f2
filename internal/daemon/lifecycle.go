package daemon

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/statechart"
)

var lifecycleChart = statechart.MustLoad(statechart.DaemonVocabulary())

// Lifecycle follows a daemon from its start to its end by the daemon chart. Events that the present state does not list
// change nothing.
type Lifecycle struct {
	log *logrus.Entry
	// handOver is called when the daemon begins to drain.
	handOver func()

	mu    sync.Mutex
	chart statechart.Instance[statechart.DaemonState, statechart.DaemonEvent, statechart.DaemonAction]
	// ready and draining are for the traffic path, which takes no lock.
	ready    atomic.Bool
	draining atomic.Bool
}

// NewLifecycle returns the lifecycle of a daemon that is starting.
func NewLifecycle(log *logrus.Entry) *Lifecycle {
	return &Lifecycle{log: log, chart: lifecycleChart.New(), handOver: func() {}}
}

// OnHandOver sets what is done when the daemon begins to drain.
func (l *Lifecycle) OnHandOver(handOver func()) { l.handOver = handOver }

// Ready reports whether the daemon takes new work.
func (l *Lifecycle) Ready() bool { return l.ready.Load() }

// Draining reports whether the daemon finishes its work and takes nothing new.
func (l *Lifecycle) Draining() bool { return l.draining.Load() }

// State returns the present state.
func (l *Lifecycle) State() statechart.DaemonState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chart.State()
}

// Prepared says that the daemon has all that it needs to serve. Only the first call has an effect.
func (l *Lifecycle) Prepared() { l.fire(statechart.DaemonOnPrepared) }

// Terminate begins the drain.
func (l *Lifecycle) Terminate() { l.fire(statechart.DaemonOnTerminate) }

// Finished ends a drain whose work is done.
func (l *Lifecycle) Finished() { l.fire(statechart.DaemonOnFinished) }

// LimitReached ends a drain that took too long.
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
