package wire

import (
	"google.golang.org/protobuf/proto"

	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// UpdateEncoder shortens the updates that a gate sends to an entry, as BeatEncoder does with heartbeats.
type UpdateEncoder struct {
	last    *pb.FollowUpdate
	targets numbers
}

// NewUpdateEncoder returns the encoder of a new stream.
func NewUpdateEncoder() *UpdateEncoder { return &UpdateEncoder{targets: make(numbers)} }

// Encode shortens an update in place.
func (e *UpdateEncoder) Encode(u *pb.FollowUpdate) {
	u.Targets = numberTargets(e.targets, u.Targets)
	head := new(pb.FollowUpdate)
	setSource(head, u)
	if e.last != nil && proto.Equal(head, e.last) {
		u.Same = true
		setSource(u, new(pb.FollowUpdate))
	}
	e.last = head
}

// UpdateDecoder reverses an UpdateEncoder. A stream whose update can't be decoded has to end.
type UpdateDecoder struct {
	last    *pb.FollowUpdate
	targets names[string]
}

// Decode restores an update in place.
func (d *UpdateDecoder) Decode(u *pb.FollowUpdate) error {
	if err := restoreTargets(&d.targets, u.Targets); err != nil {
		return err
	}
	if !u.Same {
		d.last = new(pb.FollowUpdate)
		setSource(d.last, u)
		return nil
	}
	if d.last == nil {
		return ErrNumber
	}
	u.Same = false
	setSource(u, d.last)
	return nil
}

func setSource(u, source *pb.FollowUpdate) {
	u.Self = source.Self
	u.ConfigRevision = source.ConfigRevision
	u.ConfigDigest = source.ConfigDigest
}
