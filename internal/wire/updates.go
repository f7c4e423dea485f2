package wire

import (
	"google.golang.org/protobuf/proto"

	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// UpdateEncoder compresses the updates that a gate sends to an entry, in the same way as HeartbeatEncoder compresses
// heartbeats.
type UpdateEncoder struct {
	lastHeader *pb.FollowUpdate
	targets    encodeDictionary
}

// NewUpdateEncoder returns an encoder for a new stream.
func NewUpdateEncoder() *UpdateEncoder { return &UpdateEncoder{targets: make(encodeDictionary)} }

// Encode compresses an update in place.
func (e *UpdateEncoder) Encode(u *pb.FollowUpdate) {
	u.Targets = encodeTargets(e.targets, u.Targets)
	header := new(pb.FollowUpdate)
	copyUpdateHeader(header, u)
	if e.lastHeader != nil && proto.Equal(header, e.lastHeader) {
		u.Same = true
		copyUpdateHeader(u, new(pb.FollowUpdate))
	}
	e.lastHeader = header
}

// UpdateDecoder reverses the compression of an UpdateEncoder. A stream must be closed when one of its updates cannot be
// decoded.
type UpdateDecoder struct {
	lastHeader *pb.FollowUpdate
	targets    decodeDictionary[string]
}

// Decode restores an update in place.
func (d *UpdateDecoder) Decode(u *pb.FollowUpdate) error {
	if err := decodeTargets(&d.targets, u.Targets); err != nil {
		return err
	}
	if !u.Same {
		d.lastHeader = new(pb.FollowUpdate)
		copyUpdateHeader(d.lastHeader, u)
		return nil
	}
	if d.lastHeader == nil {
		return ErrUnknownReference
	}
	u.Same = false
	copyUpdateHeader(u, d.lastHeader)
	return nil
}

func copyUpdateHeader(to, from *pb.FollowUpdate) {
	to.Self = from.Self
	to.ConfigRevision = from.ConfigRevision
	to.ConfigDigest = from.ConfigDigest
}
