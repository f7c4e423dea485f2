package gate

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// progressInterval is well below the stall timeout of entries, which give up on a gate that sends nothing for that
// long.
const progressInterval = time.Second

// reportProgress tells the entry periodically that the gate is working on the request while there is nothing else to
// send. It returns a function that stops the reports.
func (c *call) reportProgress() func() {
	done := make(chan struct{})
	ticker := time.NewTicker(progressInterval)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				c.sendProgress()
			}
		}
	}()
	return func() { close(done) }
}

func (c *call) sendProgress() {
	if c.sent.Swap(false) {
		return
	}
	_ = c.out.Send(&pb.ServeEvent{
		RequestId: c.request.RequestId,
		Event:     &pb.ServeEvent_Progress{Progress: &pb.Progress{}},
	})
}
