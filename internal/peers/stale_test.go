package peers

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/mirror"
)

type discardedBytes struct{}

func (discardedBytes) ControlSent(int)     {}
func (discardedBytes) ControlReceived(int) {}

// fixedSource always has the same change.
type fixedSource struct{}

func (fixedSource) Changes(string, mirror.Position) Changes {
	return Changes{At: mirror.Position{Revision: 7}, Events: []mirror.Event{{Item: mirror.Item{Key: "a", Value: []byte("x"), Revision: 7}}}}
}
func (fixedSource) Caches() Caches { return Caches{} }

// startRelay relays connections to an address. Those that exist when dead is set pass no more bytes and stay open, as after
// a loss of power.
func startRelay(t *testing.T, to string, dead *atomic.Int64) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := int64(1); ; number++ {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp4", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			t.Cleanup(func() { _, _ = near.Close(), far.Close() })
			pass := func(to, from net.Conn) {
				buffer := make([]byte, 4096)
				for {
					n, err := from.Read(buffer)
					if number <= dead.Load() {
						return
					}
					if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
						_ = to.Close()
						return
					}
				}
			}
			go pass(far, near)
			go pass(near, far)
		}
	}()
	return listener.Addr().String()
}

// Guards against pulls that fail because the peer's VM has lost power since the previous pull: found on
// hanamichi-rose-grown, where 40 of 70 routers could not get a configuration from the only reader.
func TestPullAfterPeerHasLostPower(t *testing.T) {
	source, err := Open("127.0.0.1:0", discardedBytes{})
	if err != nil {
		t.Fatal(err)
	}
	puller, err := Open("127.0.0.1:0", discardedBytes{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- source.Serve(ctx, fixedSource{}, nil) }()
	t.Cleanup(func() {
		stop()
		_, _ = source.Close(), puller.Close()
		if err := <-ended; err != nil && err != io.EOF {
			t.Log(err)
		}
	})
	var dead atomic.Int64
	address := startRelay(t, source.listener.Addr().String(), &dead)
	for pull := range 3 {
		started := time.Now()
		changes, err := puller.Pull(ctx, address, "p", mirror.Position{Revision: 1})
		if err != nil || len(changes.Events) != 1 {
			t.Errorf("pull %d: %d changes after %v, %v", pull, len(changes.Events), time.Since(started), err)
		}
		dead.Store(int64(pull + 1))
	}
}
