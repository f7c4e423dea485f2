package gate

import (
	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// gateRefs lets heartbeats refer to a gate process by name and incarnation once its address and location have been
// sent to the peer. It is owned by the control goroutine.
type gateRefs struct {
	// sent holds, by peer, the incarnation of each gate that has been sent to it in full.
	sent map[string]map[string]uint64
	// known holds the gates that this gate has received in full.
	known map[string]membership.Gate
	// wanted contains the peers that referred to a gate that this gate does not know.
	wanted map[string]bool
	// sentVersions and versions are the last catalogue versions sent to and received from each peer; a message without
	// a version means that it has not changed.
	sentVersions map[string]catalogue.Version
	versions     map[string]peerVersion
}

// peerVersion is the catalogue version of one process of a peer.
type peerVersion struct {
	incarnation uint64
	version     catalogue.Version
}

func newGateRefs() gateRefs {
	return gateRefs{
		sent:   make(map[string]map[string]uint64),
		known:  make(map[string]membership.Gate),
		wanted: make(map[string]bool),

		sentVersions: make(map[string]catalogue.Version),
		versions:     make(map[string]peerVersion),
	}
}

// refsFor returns a function that encodes references to gates for a peer.
func (i *gateRefs) refsFor(peer string) func(membership.Gate) *pb.GateRef {
	sent, ok := i.sent[peer]
	if !ok {
		sent = make(map[string]uint64)
		i.sent[peer] = sent
	}
	return func(g membership.Gate) *pb.GateRef {
		if sent[g.Name] == g.Incarnation && g.Incarnation != 0 {
			return wire.GateID(g)
		}
		sent[g.Name] = g.Incarnation
		return wire.Gate(g)
	}
}

// resolverFor returns a resolver for the references to gates in a peer's messages.
func (i *gateRefs) resolverFor(peer string) wire.Resolver {
	return func(ref *pb.GateRef) (membership.Gate, bool) {
		if ref.GetAddress() != "" {
			gate := wire.GateFrom(ref)
			i.known[gate.Name] = gate
			return gate, true
		}
		gate, ok := i.known[ref.GetName()]
		if !ok || gate.Incarnation != ref.GetIncarnation() {
			i.wanted[peer] = true
			return membership.Gate{}, false
		}
		return gate, true
	}
}

// forget makes the next message to a peer identify every gate in full, because an earlier message may have been lost.
func (i *gateRefs) forget(peer string) {
	delete(i.sent, peer)
	delete(i.sentVersions, peer)
}

// newVersion returns the catalogue version for a message to a peer, or the zero version if the peer already has it.
func (i *gateRefs) newVersion(peer string, version catalogue.Version) catalogue.Version {
	if i.sentVersions[peer] == version {
		return catalogue.Version{}
	}
	i.sentVersions[peer] = version
	return version
}

// versionOf returns the catalogue version of a peer, given the version in its message.
func (i *gateRefs) versionOf(peer membership.Gate, sent catalogue.Version) catalogue.Version {
	known := i.versions[peer.Name]
	if sent == (catalogue.Version{}) && known.incarnation == peer.Incarnation {
		return known.version
	}
	i.versions[peer.Name] = peerVersion{incarnation: peer.Incarnation, version: sent}
	return sent
}

// takeFullNamesRequested reports whether the peer must be asked to identify gates in full, and resets the flag.
func (i *gateRefs) takeFullNamesRequested(peer string) bool {
	wanted := i.wanted[peer]
	delete(i.wanted, peer)
	return wanted
}
