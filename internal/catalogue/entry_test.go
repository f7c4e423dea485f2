package catalogue

import (
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// Guards against digests that depend on the layout of a document or the order in which entries arrive: daemons
// with equal content would pull from each other indefinitely.
func TestDigestDependsOnContentAlone(t *testing.T) {
	const seed = 1
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewSource(seed))
	c := mustParse(t, validDocument)
	layout := strings.ReplaceAll(validDocument, "[hybrid, climber]", "\n      - climber # first\n      - \"hybrid\"")
	if other := mustParse(t, layout); other.Digest() != c.Digest() {
		t.Errorf("digest depends on the layout: %v", Diff(c, other))
	}
	for range 20 {
		entries := slices.Clone(c.Entries())
		random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		assembled, err := Assemble(c.Revision, entries)
		if err != nil {
			t.Fatal(err)
		}
		if assembled.Version() != c.Version() {
			t.Fatalf("assembled version is %v, want %v", assembled.Version(), c.Version())
		}
	}
}

// Guards against a changed digest function, which would make daemons of different builds disagree during an upgrade.
func TestDigestIsStable(t *testing.T) {
	c := mustParse(t, "revision: 3\ncustomers: [{name: a, owner: o, key_sha256: ["+strings.Repeat("0", 64)+"]}]\n")
	entry, _ := c.Entry("customer/a")
	want := `{"name":"a","owner":"o","class":"standard","key_sha256":["` + strings.Repeat("0", 64) + `"],"weight":1}`
	if string(entry.Document) != want {
		t.Errorf("canonical document is %s, want %s", entry.Document, want)
	}
	if got, want := c.Digest(), uint64(0x779aeae00842d691); got != want {
		t.Errorf("digest is %#x, want %#x", got, want)
	}
}

// Guards against a change in one entry that makes daemons pull other entries too.
func TestDigestsOfUnchangedEntriesStay(t *testing.T) {
	before := mustParse(t, validDocument)
	after := mustParse(t, replaceInValid(t, "max_in_flight: 32", "max_in_flight: 33"))
	var changed []string
	for _, entry := range after.Entries() {
		if old, _ := before.Entry(entry.Key); old.Digest != entry.Digest {
			changed = append(changed, entry.Key)
		}
	}
	if !slices.Equal(changed, []string{"pool/rose"}) {
		t.Errorf("changed entries are %v, want pool/rose", changed)
	}
}

// Guards against assembling entries that a faulty peer has mixed up or corrupted.
func TestAssembleRefusesWrongEntries(t *testing.T) {
	customer, _ := mustParse(t, validDocument).Entry("customer/cordillera")
	cases := []struct {
		name    string
		entries []Entry
		message string
	}{
		{"key and name differ", []Entry{{Key: "customer/x", Document: customer.Document}}, `document is of "cordillera"`},
		{"unknown prefix", []Entry{{Key: "zone/x", Document: customer.Document}}, "must start with"},
		{"unknown field", []Entry{{Key: "pool/x", Document: []byte(`{"name":"x","wieght":1}`)}}, "unknown field"},
		{"cut short", []Entry{{Key: customer.Key, Document: customer.Document[:20]}}, "unexpected EOF"},
		{"trailing data", []Entry{{Key: customer.Key, Document: append(slices.Clone(customer.Document), '{')}}, "data follows"},
		{"same entry twice", []Entry{customer, customer}, "used already"},
		{"invalid content", []Entry{{Key: "pool/x", Document: []byte(`{"name":"x"}`)}}, "pools[0].owner"},
	}
	for _, test := range cases {
		_, err := Assemble(1, test.entries)
		if err == nil || !strings.Contains(err.Error(), test.message) {
			t.Errorf("%s: got %v, want %q", test.name, err, test.message)
		}
	}
}

// Guards against changes that are not reported, or are reported for the wrong entry or field.
func TestDiffNamesEntryAndField(t *testing.T) {
	cases := []struct {
		old, new string
		want     []string
	}{
		{"revision: 7", "revision: 8", []string{"revision: 7 -> 8"}},
		{"queue_wait: 1s", "queue_wait: 2s", []string{`pool/rose queue_wait: "1s" -> "2s"`}},
		{"skew_weight: 0", "skew_weight: 1", []string{"pool/rose skew_weight: added 1"}},
		{"resumable: true", "resumable: false", []string{"pool/rose resumable: removed true"}},
		{"[hybrid, climber]", "[climber]", []string{`pool/rose adapters[hybrid]: removed "hybrid"`}},
		{"10.0.0.1:8000", "10.0.0.9:8000", []string{`pool/rose targets[rose-1].address: "10.0.0.1:8000" -> "10.0.0.9:8000"`}},
		{"path: /orders", "path: /stock", []string{
			`pool/orders non_repeatable[POST /orders].method: removed "POST"`,
			`pool/orders non_repeatable[POST /orders].path: removed "/orders"`,
			`pool/orders non_repeatable[POST /stock].method: added "POST"`,
			`pool/orders non_repeatable[POST /stock].path: added "/stock"`,
		}},
		{"name: cordillera", "name: prensas", []string{"customer/cordillera: removed", "customer/prensas: added"}},
		{"# none", "", nil},
	}
	for _, test := range cases {
		changed := validDocument
		if test.want != nil {
			changed = replaceInValid(t, test.old, test.new)
		}
		var got []string
		for _, change := range Diff(mustParse(t, validDocument), mustParse(t, changed)) {
			got = append(got, change.String())
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%q: got %q, want %q", test.new, got, test.want)
		}
	}
}

// Guards against an acceptance decision that depends on anything but the contents, or that allows an older revision.
func TestAccept(t *testing.T) {
	seven := mustParse(t, validDocument)
	eight := mustParse(t, replaceInValid(t, "revision: 7", "revision: 8"))
	low, high := seven, mustParse(t, replaceInValid(t, "weight: 4", "weight: 5"))
	if low.Digest() > high.Digest() {
		low, high = high, low
	}
	cases := []struct {
		name              string
		current, proposed *Catalogue
		accepted          bool
		reason            AcceptReason
	}{
		{"first", nil, seven, true, NewerRevision},
		{"none", seven, nil, false, NoProposal},
		{"newer", seven, eight, true, NewerRevision},
		{"older", eight, seven, false, OlderRevision},
		{"same", seven, seven, false, SameContent},
		{"greater digest", low, high, true, GreaterDigest},
		{"smaller digest", high, low, false, SmallerDigest},
	}
	for _, test := range cases {
		accepted, reason := Accept(test.current, test.proposed)
		if accepted != test.accepted || reason != test.reason {
			t.Errorf("%s: got %v %s, want %v %s", test.name, accepted, reason, test.accepted, test.reason)
		}
	}
}
