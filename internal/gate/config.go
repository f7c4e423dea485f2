package gate

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/configsync"
	"github.com/amaranthlb/amaranthlb/internal/daemon"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/platform"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// stepConfig applies an event to the configuration state machine and performs the resulting effects.
func (g *Gate) stepConfig(now time.Duration, event configsync.Event) {
	for _, effect := range g.state.config.Step(now, event) {
		switch e := effect.(type) {
		case configsync.ReadPlatform:
			g.readPlatform(e)
		case configsync.CancelRead:
			g.cancelRead(e.Read)
		case configsync.QueryPeers:
			g.heartbeatNow(now, e.Peers)
		case configsync.Announce:
			g.heartbeatNow(now, nil)
		case configsync.Pull:
			g.pull(e)
		case configsync.Apply:
			g.meters.Event("catalogue_applied")
			g.log.WithField("revision", e.Catalogue.Revision).Info("catalogue in force")
			g.publish(now)
		case configsync.Skipped:
			g.skipped(e)
		case configsync.Ready:
			g.log.Info("configuration is ready")
			g.publish(now)
		}
	}
}

func (g *Gate) skipped(skipped configsync.Skipped) {
	g.meters.Event("catalogue_skipped_" + string(skipped.Reason))
	if skipped.Err != nil {
		g.log.WithError(skipped.Err).WithField("reason", skipped.Reason).Error("catalogue refused")
	}
}

// readPlatform reads the catalogue from the platform. It is parsed here, outside the control goroutine.
func (g *Gate) readPlatform(read configsync.ReadPlatform) {
	reading, cancel := context.WithCancel(g.lifetime)
	g.state.reads[read.Read] = cancel
	go func() {
		defer cancel()
		event := g.readOnce(reading, read)
		g.loop.Post(func(now time.Duration) {
			delete(g.state.reads, read.Read)
			g.stepConfig(now, event)
		})
	}()
}

func (g *Gate) readOnce(ctx context.Context, read configsync.ReadPlatform) configsync.Event {
	document, err := g.platform.Config(ctx, g.settings.Platform.CatalogueKey, read.After, read.Wait)
	if errors.Is(err, platform.ErrUnchanged) {
		return configsync.PlatformAnswered{Read: read.Read, Cursor: read.After}
	}
	if err != nil {
		g.meters.ControlCall("config", "failed")
		return configsync.PlatformFailed{Read: read.Read}
	}
	proposed, err := catalogue.Parse(document.Body)
	return configsync.PlatformAnswered{Read: read.Read, Cursor: document.Revision, Catalogue: proposed, Invalid: err}
}

func (g *Gate) cancelRead(read uint64) {
	if cancel, ok := g.state.reads[read]; ok {
		cancel()
	}
}

// heartbeatNow sends heartbeats outside the regular interval, to the named peers or, if names is empty, to all.
func (g *Gate) heartbeatNow(now time.Duration, names []string) {
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
	}
	for _, peer := range g.state.members.Peers() {
		if len(names) == 0 || wanted[peer.Name] {
			message := g.state.members.Message(now, peer.Name)
			g.sendHeartbeat(now, membership.SendHeartbeat{To: peer, Message: message})
		}
	}
}

// pull requests missing catalogue entries from a peer.
func (g *Gate) pull(pull configsync.Pull) {
	peer, ok := g.state.members.View().Gate(pull.Peer)
	request := wire.CatalogueRequest(pull.Base)
	go func() {
		event := configsync.Event(configsync.PullFailed{Pull: pull.Pull})
		if ok {
			event = daemon.PullCatalogue(g.lifetime, g.control, g.meters, peer.Address, pull.Pull, request)
		}
		g.loop.Post(func(now time.Duration) { g.stepConfig(now, event) })
	}()
}

// Catalogue answers a daemon that requests missing catalogue entries.
func (s *controlServer) Catalogue(ctx context.Context, request *pb.CatalogueRequest) (*pb.CatalogueReply, error) {
	var current *catalogue.Catalogue
	if err := s.gate.loop.Call(ctx, func(time.Duration) { current = s.gate.state.config.Current() }); err != nil {
		return nil, err
	}
	return wire.CatalogueReply(current, request), nil
}
