package gate

import (
	"encoding/hex"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/atmostonce"
	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/gossip"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

const (
	crashLifetime = crashguard.Lifetime
	// noticeVersion is the version of drain notices, which never change.
	noticeVersion = 1
)

// acceptNotices processes drain notices and charges gossiped by other gates.
func (g *Gate) acceptNotices(now time.Duration, records []gossip.Record[*pb.Notice]) {
	for _, record := range records {
		if record.Payload.Note != nil {
			g.tickets.addNote(noteFrom(record))
		}
	}
	g.acceptCharges(now, records)
}

func noteFrom(record gossip.Record[*pb.Notice]) atmostonce.DrainNote {
	return atmostonce.DrainNote{
		From:      wire.TicketGateFrom(record.Payload.Note.From),
		Heir:      wire.TicketGateFrom(record.Payload.Note.Heir),
		Remaining: time.Duration(record.Payload.Note.RemainingMs)*time.Millisecond - record.Age,
	}
}

// spreadNote gossips which gate takes over the tickets of a draining gate.
func (g *Gate) spreadNote(e atmostonce.GossipNote) {
	notice := &pb.Notice{Note: &pb.DrainNote{
		From:        wire.TicketGate(e.DrainNote.From),
		Heir:        wire.TicketGate(e.DrainNote.Heir),
		RemainingMs: e.DrainNote.Remaining.Milliseconds(),
	}}
	key := "note/" + wire.LoadKey(e.DrainNote.From.Name, e.DrainNote.From.Incarnation)
	g.loop.Post(func(now time.Duration) {
		g.state.notices.Put(now, hex.EncodeToString([]byte(key)), noticeVersion, notice)
		g.heartbeatNow(now, nil)
	})
}
