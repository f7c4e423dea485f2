package wire

import (
	"errors"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// maxDictionarySize bounds the number of names of one kind that a stream assigns numbers to, and thereby the memory
// that a peer can consume. Further names are sent in full.
const maxDictionarySize = 8192

// ErrUnknownReference is returned for a message that refers to a name or to an earlier message that its stream has not
// carried.
var ErrUnknownReference = errors.New("message refers to a name or an earlier message that its stream has not carried")

// encodeDictionary assigns consecutive numbers from 1 to names in the order of their first use on a stream.
type encodeDictionary map[string]uint32

// numberOf returns the number of a name and whether the stream has already carried it. It returns 0 if the dictionary
// is full.
func (d encodeDictionary) numberOf(name string) (number uint32, carried bool) {
	if number, carried = d[name]; carried {
		return number, true
	}
	if len(d) == maxDictionarySize {
		return 0, false
	}
	number = uint32(len(d) + 1)
	d[name] = number
	return number, false
}

// decodeDictionary maps the numbers of a stream to names; number 1 is at index 0.
type decodeDictionary[N any] []N

// define assigns a name to a number. Numbers have to be defined in consecutive order.
func (d *decodeDictionary[N]) define(number uint32, name N) error {
	switch {
	case number == 0:
	case int(number) <= len(*d):
		(*d)[number-1] = name
	case int(number) == len(*d)+1 && number <= maxDictionarySize:
		*d = append(*d, name)
	default:
		return ErrUnknownReference
	}
	return nil
}

func (d decodeDictionary[N]) get(number uint32) (name N, err error) {
	if number == 0 || int(number) > len(d) {
		return name, ErrUnknownReference
	}
	return d[number-1], nil
}

// HeartbeatEncoder compresses the heartbeats in one direction of a stream. Each name is sent once and replaced by a
// number from then on, and the sender and its view are omitted while they are unchanged. The encoder is valid only as
// long as each message that it returns is sent on its stream, in order.
type HeartbeatEncoder struct {
	lastHeader *pb.HeartbeatMessage
	gates      encodeDictionary
	targets    encodeDictionary
}

// NewHeartbeatEncoder returns an encoder for a new stream.
func NewHeartbeatEncoder() *HeartbeatEncoder {
	return &HeartbeatEncoder{gates: make(encodeDictionary), targets: make(encodeDictionary)}
}

// Encode compresses a message in place. Parts that may be shared with other messages are copied.
func (e *HeartbeatEncoder) Encode(m *pb.HeartbeatMessage) {
	for _, gate := range gateRefs(m) {
		e.encodeGate(gate)
	}
	for _, load := range m.Loads {
		number, carried := e.gates.numberOf(LoadKey(load.Gate, load.Incarnation))
		load.Number = number
		if carried {
			load.Gate, load.Incarnation = "", 0
		}
		load.Targets = encodeTargets(e.targets, load.Targets)
	}
	header := headerOf(m)
	if e.lastHeader != nil && proto.Equal(header, e.lastHeader) {
		m.Same = true
		copyHeader(m, &pb.HeartbeatMessage{})
	}
	e.lastHeader = header
}

// encodeGate replaces a gate by its number. A gate given with its address stays in full, since the receiver has to
// learn the address.
func (e *HeartbeatEncoder) encodeGate(gate *pb.GateRef) {
	number, carried := e.gates.numberOf(LoadKey(gate.Name, gate.Incarnation))
	gate.Number = number
	if carried && gate.Address == "" {
		gate.Name, gate.Incarnation = "", 0
	}
}

// encodeTargets returns a copy of the loads in which target names that the stream has carried are replaced by their
// numbers.
func encodeTargets(targets encodeDictionary, loads []*pb.TargetLoad) []*pb.TargetLoad {
	encoded := make([]*pb.TargetLoad, len(loads))
	for i, load := range loads {
		number, carried := targets.numberOf(load.Target)
		encoded[i] = &pb.TargetLoad{Number: number, Load: load.Load, State: load.State}
		if !carried {
			encoded[i].Target = load.Target
		}
	}
	return encoded
}

// gateProcess identifies one process of a gate by name and incarnation.
type gateProcess struct {
	name        string
	incarnation uint64
}

// HeartbeatDecoder reverses the compression of a HeartbeatEncoder. A stream must be closed when one of its messages
// cannot be decoded.
type HeartbeatDecoder struct {
	lastHeader *pb.HeartbeatMessage
	gates      decodeDictionary[gateProcess]
	targets    decodeDictionary[string]
}

// Decode restores a message in place.
func (d *HeartbeatDecoder) Decode(m *pb.HeartbeatMessage) error {
	for _, gate := range gateRefs(m) {
		if err := d.decodeGate(gate); err != nil {
			return err
		}
	}
	for _, load := range m.Loads {
		if err := d.decodeLoad(load); err != nil {
			return err
		}
	}
	if !m.Same {
		d.lastHeader = headerOf(m)
		return nil
	}
	if d.lastHeader == nil {
		return ErrUnknownReference
	}
	m.Same = false
	copyHeader(m, d.lastHeader)
	return nil
}

func (d *HeartbeatDecoder) decodeGate(gate *pb.GateRef) error {
	gateID, err := d.resolveProcess(gate.GetNumber(), gateProcess{gate.GetName(), gate.GetIncarnation()})
	if err == nil && gate != nil {
		gate.Name, gate.Incarnation, gate.Number = gateID.name, gateID.incarnation, 0
	}
	return err
}

func (d *HeartbeatDecoder) decodeLoad(load *pb.LoadRecord) error {
	gateID, err := d.resolveProcess(load.Number, gateProcess{load.Gate, load.Incarnation})
	if err != nil {
		return err
	}
	load.Gate, load.Incarnation, load.Number = gateID.name, gateID.incarnation, 0
	return decodeTargets(&d.targets, load.Targets)
}

// resolveProcess returns the process that a number stands for, or defines the number if the process is named.
func (d *HeartbeatDecoder) resolveProcess(number uint32, p gateProcess) (gateProcess, error) {
	if p.name == "" {
		return d.gates.get(number)
	}
	return p, d.gates.define(number, p)
}

// decodeTargets replaces the numbers of targets by their names.
func decodeTargets(targets *decodeDictionary[string], loads []*pb.TargetLoad) error {
	for _, load := range loads {
		var err error
		if load.Target == "" {
			load.Target, err = targets.get(load.Number)
		} else {
			err = targets.define(load.Number, load.Target)
		}
		if err != nil {
			return err
		}
		load.Number = 0
	}
	return nil
}

// gateRefs returns the gates that a heartbeat refers to besides its sender.
func gateRefs(m *pb.HeartbeatMessage) []*pb.GateRef {
	refs := make([]*pb.GateRef, 0, len(m.News)+len(m.Skip)+len(m.Resume))
	for _, news := range m.News {
		refs = append(refs, news.Gate)
	}
	refs = append(refs, m.Skip...)
	return append(refs, m.Resume...)
}

// headerOf copies the fields that rarely change between heartbeats.
func headerOf(m *pb.HeartbeatMessage) *pb.HeartbeatMessage {
	header := &pb.HeartbeatMessage{}
	copyHeader(header, m)
	header.LeavingTargets = slices.Clone(m.LeavingTargets)
	return header
}

func copyHeader(to, from *pb.HeartbeatMessage) {
	to.Self = from.Self
	to.Draining = from.Draining
	to.ViewVersion = from.ViewVersion
	to.ViewDigest = from.ViewDigest
	to.ListRevision = from.ListRevision
	to.LeavingTargets = from.LeavingTargets
}
