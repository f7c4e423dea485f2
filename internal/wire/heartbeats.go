package wire

import (
	"errors"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// maxNumbers bounds the names of a kind that one stream numbers, and so the memory that a peer can take. Further
// names are sent as they are.
const maxNumbers = 8192

// ErrNumber is a message that refers to a name or to an earlier message that its stream has not carried.
var ErrNumber = errors.New("the message refers to something that its stream has not carried")

// numbers gives names consecutive numbers from 1 in the order of their first use on a stream.
type numbers map[string]uint32

// of returns the number of a name and whether the stream has carried it; 0 when the name can't have one.
func (n numbers) of(name string) (number uint32, carried bool) {
	if number, carried = n[name]; carried {
		return number, true
	}
	if len(n) == maxNumbers {
		return 0, false
	}
	number = uint32(len(n) + 1)
	n[name] = number
	return number, false
}

// names holds what the numbers of a stream stand for.
type names[N any] []N

// define stores what a number stands for. Numbers are defined in their order.
func (n *names[N]) define(number uint32, name N) error {
	switch {
	case number == 0:
	case int(number) <= len(*n):
		(*n)[number-1] = name
	case int(number) == len(*n)+1 && number <= maxNumbers:
		*n = append(*n, name)
	default:
		return ErrNumber
	}
	return nil
}

func (n names[N]) get(number uint32) (name N, err error) {
	if number == 0 || int(number) > len(n) {
		return name, ErrNumber
	}
	return n[number-1], nil
}

// BeatEncoder shortens the heartbeats of one direction of a stream. Names cross the stream once and are numbers
// then, and the sender and its view are left out while they are unchanged. It may be used only as long as each
// message that it returns is sent on its stream, in order.
type BeatEncoder struct {
	last    *pb.HeartbeatMessage
	gates   numbers
	targets numbers
}

// NewBeatEncoder returns the encoder of a new stream.
func NewBeatEncoder() *BeatEncoder {
	return &BeatEncoder{gates: make(numbers), targets: make(numbers)}
}

// Encode shortens a message in place. Parts that other messages may share are copied.
func (e *BeatEncoder) Encode(m *pb.HeartbeatMessage) {
	for _, gate := range refsOf(m) {
		e.ref(gate)
	}
	for _, load := range m.Loads {
		number, carried := e.gates.of(LoadKey(load.Gate, load.Incarnation))
		load.Number = number
		if carried {
			load.Gate, load.Incarnation = "", 0
		}
		load.Targets = numberTargets(e.targets, load.Targets)
	}
	head := headOf(m)
	if e.last != nil && proto.Equal(head, e.last) {
		m.Same = true
		setHead(m, &pb.HeartbeatMessage{})
	}
	e.last = head
}

// ref numbers a gate. A gate that is named in full stays so, since the receiver has to learn its address.
func (e *BeatEncoder) ref(gate *pb.GateRef) {
	number, carried := e.gates.of(LoadKey(gate.Name, gate.Incarnation))
	gate.Number = number
	if carried && gate.Address == "" {
		gate.Name, gate.Incarnation = "", 0
	}
}

// numberTargets returns the loads with numbers in place of the names that the stream has carried.
func numberTargets(targets numbers, loads []*pb.TargetLoad) []*pb.TargetLoad {
	numbered := make([]*pb.TargetLoad, len(loads))
	for i, load := range loads {
		number, carried := targets.of(load.Target)
		numbered[i] = &pb.TargetLoad{Number: number, Load: load.Load, State: load.State}
		if !carried {
			numbered[i].Target = load.Target
		}
	}
	return numbered
}

// process is a gate's name and incarnation.
type process struct {
	name        string
	incarnation uint64
}

// BeatDecoder reverses a BeatEncoder. A stream whose message can't be decoded has to end.
type BeatDecoder struct {
	last    *pb.HeartbeatMessage
	gates   names[process]
	targets names[string]
}

// Decode restores a message in place.
func (d *BeatDecoder) Decode(m *pb.HeartbeatMessage) error {
	for _, gate := range refsOf(m) {
		if err := d.ref(gate); err != nil {
			return err
		}
	}
	for _, load := range m.Loads {
		if err := d.load(load); err != nil {
			return err
		}
	}
	if !m.Same {
		d.last = headOf(m)
		return nil
	}
	if d.last == nil {
		return ErrNumber
	}
	m.Same = false
	setHead(m, d.last)
	return nil
}

func (d *BeatDecoder) ref(gate *pb.GateRef) error {
	named, err := d.process(gate.GetNumber(), process{gate.GetName(), gate.GetIncarnation()})
	if err == nil && gate != nil {
		gate.Name, gate.Incarnation, gate.Number = named.name, named.incarnation, 0
	}
	return err
}

func (d *BeatDecoder) load(load *pb.LoadRecord) error {
	named, err := d.process(load.Number, process{load.Gate, load.Incarnation})
	if err != nil {
		return err
	}
	load.Gate, load.Incarnation, load.Number = named.name, named.incarnation, 0
	return restoreTargets(&d.targets, load.Targets)
}

// process returns the process that a number stands for, or defines the number when the process is named.
func (d *BeatDecoder) process(number uint32, named process) (process, error) {
	if named.name == "" {
		return d.gates.get(number)
	}
	return named, d.gates.define(number, named)
}

// restoreTargets puts the names of targets back in place of their numbers.
func restoreTargets(targets *names[string], loads []*pb.TargetLoad) error {
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

// refsOf returns the gates that a heartbeat names besides its sender.
func refsOf(m *pb.HeartbeatMessage) []*pb.GateRef {
	refs := make([]*pb.GateRef, 0, len(m.News)+len(m.Skip)+len(m.Resume))
	for _, news := range m.News {
		refs = append(refs, news.Gate)
	}
	refs = append(refs, m.Skip...)
	return append(refs, m.Resume...)
}

// headOf copies the fields that rarely change from one heartbeat to the next.
func headOf(m *pb.HeartbeatMessage) *pb.HeartbeatMessage {
	head := &pb.HeartbeatMessage{}
	setHead(head, m)
	head.LeavingTargets = slices.Clone(m.LeavingTargets)
	return head
}

func setHead(m, head *pb.HeartbeatMessage) {
	m.Self = head.Self
	m.Draining = head.Draining
	m.ViewVersion = head.ViewVersion
	m.ViewDigest = head.ViewDigest
	m.ListRevision = head.ListRevision
	m.LeavingTargets = head.LeavingTargets
}
