package catalogue

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// Prefixes of entry keys; the name of the customer or pool follows.
const (
	CustomerPrefix = "customer/"
	PoolPrefix     = "pool/"
)

// Entry is one customer or pool in canonical form.
type Entry struct {
	// Key is the prefix and the name, such as pool/rose.
	Key string
	// Document is the canonical JSON form. Fields with the zero value are omitted, so that a field added by a later
	// version does not change the digests of entries that don't use it.
	Document []byte
	// Digest is the xxhash64 of the document.
	Digest uint64
}

// Entries returns the customers and pools in canonical form, sorted by key. Callers must not modify the slice.
func (c *Catalogue) Entries() []Entry { return c.entries }

// Entry returns the entry with the key.
func (c *Catalogue) Entry(key string) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(c.entries, key, func(e Entry, key string) int {
		return strings.Compare(e.Key, key)
	})
	if !ok {
		return Entry{}, false
	}
	return c.entries[i], true
}

// Assemble builds a catalogue from canonical entries in any order and ignores their digests. The result has the digest
// of the catalogue that the entries come from.
func Assemble(revision uint64, entries []Entry) (*Catalogue, error) {
	c := Catalogue{Revision: revision}
	for _, entry := range entries {
		if err := c.add(entry); err != nil {
			return nil, err
		}
	}
	if errs := c.validate(); len(errs) > 0 {
		return nil, errs
	}
	c.finalize()
	return &c, nil
}

func (c *Catalogue) add(entry Entry) error {
	if name, ok := strings.CutPrefix(entry.Key, CustomerPrefix); ok {
		var customer Customer
		if err := decodeEntry(entry, name, &customer, &customer.Name); err != nil {
			return err
		}
		c.Customers = append(c.Customers, customer)
		return nil
	}
	if name, ok := strings.CutPrefix(entry.Key, PoolPrefix); ok {
		var pool Pool
		if err := decodeEntry(entry, name, &pool, &pool.Name); err != nil {
			return err
		}
		c.Pools = append(c.Pools, pool)
		return nil
	}
	return trace.BadParameter("entry %q: the key must start with %s or %s", entry.Key, CustomerPrefix, PoolPrefix)
}

// decodeEntry decodes one canonical document and checks that its name matches the key.
func decodeEntry(entry Entry, name string, out any, decoded *string) error {
	decoder := json.NewDecoder(bytes.NewReader(entry.Document))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return trace.BadParameter("entry %q: %s", entry.Key, err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return trace.BadParameter("entry %q: data follows the document", entry.Key)
	}
	if *decoded != name {
		return trace.BadParameter("entry %q: the document is of %q", entry.Key, *decoded)
	}
	return nil
}

// sort puts the lists whose order is not significant into canonical order.
func (c *Catalogue) sort() {
	slices.SortFunc(c.Customers, func(a, b Customer) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	for i := range c.Customers {
		slices.Sort(c.Customers[i].KeyDigests)
	}
	for i := range c.Pools {
		c.Pools[i].sort()
	}
}

func (p *Pool) sort() {
	slices.Sort(p.Adapters)
	slices.SortFunc(p.NonRepeatable, func(a, b Call) int {
		if order := strings.Compare(a.Path, b.Path); order != 0 {
			return order
		}
		return strings.Compare(a.Method, b.Method)
	})
	slices.SortFunc(p.Targets, func(a, b Target) int { return strings.Compare(a.Name, b.Name) })
}

// encode computes the canonical entries and the digest.
func (c *Catalogue) encode() {
	c.entries = make([]Entry, 0, len(c.Customers)+len(c.Pools))
	for i := range c.Customers {
		c.entries = append(c.entries, newEntry(CustomerPrefix+c.Customers[i].Name, &c.Customers[i]))
	}
	for i := range c.Pools {
		c.entries = append(c.entries, newEntry(PoolPrefix+c.Pools[i].Name, &c.Pools[i]))
	}
	c.digest = computeDigest(c.Revision, c.entries)
}

func newEntry(key string, content any) Entry {
	document, err := json.Marshal(content)
	if err != nil {
		panic("catalogue: validated content can't be encoded: " + err.Error())
	}
	return Entry{Key: key, Document: document, Digest: xxhash.Sum64(document)}
}

// computeDigest hashes the revision and the key and digest of each entry, sorted by key.
func computeDigest(revision uint64, entries []Entry) uint64 {
	buffer := binary.BigEndian.AppendUint64(nil, revision)
	for _, entry := range entries {
		buffer = append(buffer, entry.Key...)
		buffer = append(buffer, 0)
		buffer = binary.BigEndian.AppendUint64(buffer, entry.Digest)
	}
	return xxhash.Sum64(buffer)
}
