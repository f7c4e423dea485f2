package gate

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

const (
	// maximumTransfers bounds the concurrent transfers of one gate, each of which may hold 64 MB.
	maximumTransfers = 4
	// recomputeTimePerByte estimates the prefill time per byte of the prompt: a token of about four bytes takes an
	// engine about 100 us.
	recomputeTimePerByte = 25 * time.Microsecond
	// maximumTransferTime leaves most of the allowed time to first token, 1.4 s, to the request itself.
	maximumTransferTime = 500 * time.Millisecond
	// minimumTransferTime is the recomputation time below which no transfer is attempted.
	minimumTransferTime = 10 * time.Millisecond
)

// transfers is a semaphore that bounds the concurrent KV cache transfers.
type transfers chan struct{}

func newTransfers() transfers { return make(transfers, maximumTransfers) }

// transferTime bounds a transfer by the time that recomputing the cache would take.
func transferTime(bodyBytes int) time.Duration {
	return min(time.Duration(bodyBytes)*recomputeTimePerByte, maximumTransferTime)
}

// transferCache copies the KV cache of a chat from the target that holds it. If the transfer fails, the request runs
// without it.
func (c *call) transferCache(ctx context.Context, snapshot *Snapshot, t *catalogue.Target) {
	holder, ok := snapshot.Catalogue.Target(c.request.PreviousTarget)
	if !ok || holder == t || holder.Pool() != t.Pool() || !t.Pool().KVTransfer {
		return
	}
	limit := transferTime(len(c.request.Body))
	if limit < minimumTransferTime {
		c.gate.meters.Event("kv_transfer_short")
		return
	}
	select {
	case c.gate.transfers <- struct{}{}:
		defer func() { <-c.gate.transfers }()
	default:
		c.gate.meters.Event("kv_transfer_busy")
		return
	}
	c.gate.meters.Event("kv_transfer_" + c.copyCache(ctx, holder, t, limit))
}

// copyCache exports and imports the cache within the limit and returns the result as the counter names it.
func (c *call) copyCache(ctx context.Context, holder, t *catalogue.Target, limit time.Duration) string {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	cache, err := c.gate.targets.ExportKV(ctx, holder.Address, c.request.Body)
	if err == nil {
		err = c.gate.targets.ImportKV(ctx, t.Address, cache)
	}
	switch {
	case err == nil:
		return "done"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "late"
	}
	return "failed"
}
