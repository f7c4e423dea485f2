package configsync

import (
	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

// Difference lists the entries that a daemon must change or remove to reach a version.
type Difference struct {
	Version catalogue.Version
	Changed []catalogue.Entry
	Removed []string
}

// DifferenceFrom returns the difference for a peer that holds entries with the given digests by key. It reads only its
// arguments, so that request goroutines can call it on the current snapshot. A nil catalogue yields the zero
// Difference.
func DifferenceFrom(current *catalogue.Catalogue, have map[string]uint64) Difference {
	if current == nil {
		return Difference{}
	}
	difference := Difference{Version: current.Version()}
	for _, entry := range current.Entries() {
		if digest, ok := have[entry.Key]; !ok || digest != entry.Digest {
			difference.Changed = append(difference.Changed, entry)
		}
	}
	for key := range have {
		if _, ok := current.Entry(key); !ok {
			difference.Removed = append(difference.Removed, key)
		}
	}
	return difference
}

// Digests returns the digest of each entry by key, for a Pull that uses the catalogue as its base.
func Digests(base *catalogue.Catalogue) map[string]uint64 {
	if base == nil {
		return nil
	}
	digests := make(map[string]uint64, len(base.Entries()))
	for _, entry := range base.Entries() {
		digests[entry.Key] = entry.Digest
	}
	return digests
}

// assemble applies a difference to its base. Unchanged entries keep their canonical form.
func assemble(base *catalogue.Catalogue, difference Difference) (*catalogue.Catalogue, error) {
	replaced := make(map[string]bool, len(difference.Changed)+len(difference.Removed))
	for _, entry := range difference.Changed {
		replaced[entry.Key] = true
	}
	for _, key := range difference.Removed {
		replaced[key] = true
	}
	entries := append([]catalogue.Entry(nil), difference.Changed...)
	if base != nil {
		for _, entry := range base.Entries() {
			if !replaced[entry.Key] {
				entries = append(entries, entry)
			}
		}
	}
	return catalogue.Assemble(difference.Version.Revision, entries)
}
