package entry

import (
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/loadnews"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// loadRelay forwards the loads received in one gate's responses with the calls to other gates. All calls of the entry
// share it.
type loadRelay struct {
	clock control.Clock

	mu    sync.Mutex
	relay *loadnews.Relay
}

func newLoadRelay(clock control.Clock) *loadRelay {
	return &loadRelay{clock: clock, relay: loadnews.NewRelay()}
}

// accept records the loads of a pool that a gate reported.
func (n *loadRelay) accept(pool string, loads []*pb.PoolLoad) {
	if len(loads) == 0 {
		return
	}
	digests := wire.PoolLoadsFrom(pool, loads)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relay.Accept(n.now(), digests)
}

// loadsFor returns the loads of a pool that have not been sent to a gate yet.
func (n *loadRelay) loadsFor(pool, gate string) []*pb.PoolLoad {
	n.mu.Lock()
	defer n.mu.Unlock()
	return wire.PoolLoads(n.relay.UpdatesFor(n.now(), pool, gate, nil))
}

func (n *loadRelay) now() time.Duration { return n.clock.Now() }
