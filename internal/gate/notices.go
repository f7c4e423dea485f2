package gate

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/gossip"
	"github.com/amaranthlb/amaranthlb/internal/pb"
)

const crashLifetime = crashguard.Lifetime

// acceptNotices takes over facts that other gates spread.
func (g *Gate) acceptNotices(_ time.Duration, _ []gossip.Record[*pb.Notice]) {}
