package daemon

import (
	"context"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/configsync"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/rpc"
	"github.com/amaranthlb/amaranthlb/internal/telemetry"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// pullTimeout bounds one request for catalogue entries.
const pullTimeout = 2 * time.Second

// PullCatalogue requests catalogue entries from a gate and returns the event that completes the pull.
func PullCatalogue(
	ctx context.Context, dialer *rpc.Dialer, meters *telemetry.Meters, address string, number uint64, request *pb.CatalogueRequest,
) configsync.Event {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := pb.NewDRPCControlClient(dialer.Conn(ctx, address)).Catalogue(ctx, request)
	if err != nil {
		meters.ControlCall("catalogue", "failed")
		return configsync.PullFailed{Pull: number}
	}
	return configsync.Pulled{Pull: number, Difference: wire.CatalogueReplyFrom(reply)}
}
