package catalogue

import "cmp"

// Version identifies the content of a catalogue. Versions are ordered: by revision, then by digest.
type Version struct {
	Revision uint64
	Digest   uint64
}

// Version returns the revision and digest. A nil catalogue has the zero Version, which is below all others.
func (c *Catalogue) Version() Version {
	if c == nil {
		return Version{}
	}
	return Version{c.Revision, c.digest}
}

// Compare returns -1, 0 or 1 for a version that is below, equal to or above the other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Revision, other.Revision), cmp.Compare(v.Digest, other.Digest))
}

// AcceptReason is the reason why a proposed catalogue was accepted or rejected.
type AcceptReason string

// Reasons for accepting.
const (
	// NewerRevision is a revision above the current one.
	NewerRevision AcceptReason = "newer_revision"
	// GreaterDigest is other content under the same revision, with the greater digest.
	GreaterDigest AcceptReason = "greater_digest"
)

// Reasons for rejecting.
const (
	// NoProposal is a missing catalogue.
	NoProposal AcceptReason = "no_proposal"
	// OlderRevision is a revision below the current one.
	OlderRevision AcceptReason = "older_revision"
	// SmallerDigest is other content under the same revision, with the smaller digest.
	SmallerDigest AcceptReason = "smaller_digest"
	// SameContent is a catalogue equal to the current one.
	SameContent AcceptReason = "same_content"
)

// Accept decides whether the proposed catalogue replaces the current one, which is nil at startup. The decision depends
// only on the contents, so daemons that receive the same catalogues in any order converge on the same one. A Catalogue
// value is always valid.
func Accept(current, proposed *Catalogue) (bool, AcceptReason) {
	if proposed == nil {
		return false, NoProposal
	}
	return AcceptVersion(current.Version(), proposed.Version())
}

// AcceptVersion is like Accept for catalogues of which only the versions are known.
func AcceptVersion(current, proposed Version) (bool, AcceptReason) {
	switch {
	case proposed.Revision > current.Revision:
		return true, NewerRevision
	case proposed.Revision < current.Revision:
		return false, OlderRevision
	case proposed.Digest > current.Digest:
		return true, GreaterDigest
	case proposed.Digest < current.Digest:
		return false, SmallerDigest
	}
	return false, SameContent
}
