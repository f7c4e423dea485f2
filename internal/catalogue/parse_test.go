package catalogue

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// validDocument is a document that uses every field. Tests replace parts of it.
const validDocument = `revision: 7
customers:
  - name: hanamichi
    owner: registry team
    class: interactive
    key_sha256: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]
    weight: 4
    requests_per_second: 50
    concurrent: 200
  - name: cordillera
    owner: parts team
    key_sha256: [bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb]
pools:
  - name: rose
    owner: model team
    kind: model
    version: 1.10
    adapters: [hybrid, climber]
    load_multiple: 1.5
    max_in_flight: 32
    queue_length: 10
    queue_wait: 1s
    deadline: 90s
    reuse_weight: 2
    skew_weight: 0
    zone_weight: 3
    checks_fencing: true
    resumable: true
    kv_transfer: true
    targets:
      - {name: rose-2, address: "10.0.0.2:8000", zone: a, region: south, role: serve}
      - {name: rose-1, address: "10.0.0.1:8000", zone: b, region: south, role: serve}
  - name: orders
    owner: parts team
    kind: service
    class: standard
    fate_query: true
    non_repeatable:
      - {method: POST, path: /orders}
    targets:
      - {name: orders-1, address: "10.0.1.1:9000", zone: a, region: south}
`

func mustParse(t testing.TB, document string) *Catalogue {
	t.Helper()
	c, err := Parse([]byte(document))
	if err != nil {
		t.Fatalf("document is rejected: %v", err)
	}
	return c
}

// replaceInValid returns the good document with one part replaced.
func replaceInValid(t testing.TB, old, new string) string {
	t.Helper()
	if strings.Count(validDocument, old) == 0 {
		t.Fatalf("the good document has no %q", old)
	}
	return strings.Replace(validDocument, old, new, 1)
}

// Guards against errors that report no field or the wrong one, which would keep operators from finding the mistake.
func TestInvalidFieldIsReported(t *testing.T) {
	cases := []struct{ old, new, path, message string }{
		{"revision: 7", "revision: 0", "revision", "must be 1 or more"},
		{"revision: 7", "revision: 1.5", "revision", "whole number"},
		{"revision: 7", "revision: -1", "revision", "whole number"},
		{"revision: 7", "revision: 7\nrevison: 8", "revison", "not a known field"},
		{"revision: 7", "revision: 7\nrevision: 8", "document", "already defined"},
		{"revision: 7", "revision: [", "document", "is not YAML"},
		{"name: hanamichi", "name: Hana", "customers[0].name", "not a name"},
		{"name: cordillera", "name: hanamichi", "customers[1].name", "used already by customers[0].name"},
		{"    owner: registry team\n", "", "customers[0].owner", "required"},
		{"owner: registry team", `owner: "a\tb"`, "customers[0].owner", "printable"},
		{"class: interactive", "class: urgent", "customers[0].class", "not a class"},
		{"[bbbb", "[Bbbb", "customers[1].key_sha256[0]", "hexadecimal"},
		{strings.Repeat("b", 64), strings.Repeat("a", 64), "customers[1].key_sha256[0]", "used already"},
		{"[" + strings.Repeat("b", 64) + "]", "[]", "customers[1].key_sha256", "at least one"},
		{"[" + strings.Repeat("b", 64) + "]", "none", "customers[1].key_sha256", "must be a list"},
		{"weight: 4", "weight: 0", "customers[0].weight", "above 0"},
		{"weight: 4", "weight: heavy", "customers[0].weight", "must be a number"},
		{"weight: 4", "weight: .inf", "customers[0].weight", "must be a number"},
		{"weight: 4", "weight: .nan", "customers[0].weight", "must be a number"},
		{"weight: 4", "weight: 1e300", "customers[0].weight", "at most"},
		{"requests_per_second: 50", "requests_per_second: -1", "customers[0].requests_per_second", "from 0"},
		{"concurrent: 200", "concurrent: -1", "customers[0].concurrent", "from 0"},
		{"concurrent: 200", "concurrent: 99999999999999999999", "customers[0].concurrent", "whole number"},
		{"kind: model", "kind: modle", "pools[0].kind", "use model or service"},
		{"name: orders\n", "name: rose\n", "pools[1].name", "used already by pools[0].name"},
		{"load_multiple: 1.5", "load_multiple: 0.9", "pools[0].load_multiple", "from 1"},
		{"max_in_flight: 32", "max_in_flight: 0", "pools[0].max_in_flight", "from 1"},
		{"max_in_flight: 32", "max_in_flight: 1.5", "pools[0].max_in_flight", "whole number"},
		{"queue_length: 10", "queue_length: -1", "pools[0].queue_length", "from 0"},
		{"queue_wait: 1s", "queue_wait: 5", "pools[0].queue_wait", "duration with a unit"},
		{"queue_wait: 1s", "queue_wait: [1s]", "pools[0].queue_wait", "must be text"},
		{"queue_wait: 1s", "queue_wait: 2m", "pools[0].queue_wait", "from 0s to 1m0s"},
		{"deadline: 90s", "deadline: 500ms", "pools[0].queue_wait", "must not exceed the deadline"},
		{"deadline: 90s", "deadline: 0s", "pools[0].deadline", "from 1ms"},
		{"reuse_weight: 2", "reuse_weight: -1", "pools[0].reuse_weight", "from 0"},
		{"skew_weight: 0", "skew_weight: 1001", "pools[0].skew_weight", "from 0 to 1000"},
		{"zone_weight: 3", "zone_weight: 0", "pools[0].zone_weight", "above 0"},
		{"resumable: true", "resumable: 1", "pools[0].resumable", "true or false"},
		{"[hybrid, climber]", "[hybrid, hybrid]", "pools[0].adapters[1]", "used already"},
		{"kind: service", "kind: service\n    version: 2", "pools[1].version", "only for pools of kind model"},
		{"kind: service", "kind: service\n    adapters: [x]", "pools[1].adapters", "only for pools of kind model"},
		{"kind: service", "kind: service\n    checks_fencing: true", "pools[1].checks_fencing", "only for"},
		{"kind: service", "kind: service\n    kv_transfer: true", "pools[1].kv_transfer", "only for"},
		{"kind: service", "kind: model", "pools[1].non_repeatable", "only for pools of kind service"},
		{"method: POST", "method: post", "pools[1].non_repeatable[0].method", "not a method"},
		{"path: /orders", "path: orders", "pools[1].non_repeatable[0].path", "must start with /"},
		{"      - {method: POST, path: /orders}\n", "      - {method: POST, path: /a}\n      - {method: POST, path: /a}\n",
			"pools[1].non_repeatable[1]", "used already"},
		{"name: rose-1", "name: rose-2", "pools[0].targets[1].name", "used already"},
		{"name: orders-1", "name: rose-2", "pools[1].targets[0].name", "used already by pools[0].targets[0].name"},
		{"10.0.0.1:8000", "rose.example:8000", "pools[0].targets[1].address", "not an IP number"},
		{"10.0.0.1:8000", "10.0.0.1:0", "pools[0].targets[1].address", "can't be connected to"},
		{"10.0.0.1:8000", "0.0.0.0:80", "pools[0].targets[1].address", "can't be connected to"},
		{"10.0.0.1:8000", "[::ffff:10.0.0.2]:8000", "pools[0].targets[1].address", "used already"},
		{"zone: b,", "zone: '',", "pools[0].targets[1].zone", "not a label"},
		{"9000\", zone: a, region: south", "9000\", zone: a, region: north", "pools[1].targets[0].region", "is in region"},
		{"role: serve}", "role: 'a b'}", "pools[0].targets[0].role", "not a label"},
		{"9000\", zone: a", "9000\", role: x, zone: a", "pools[1].targets[0].role", "only for pools of kind model"},
	}
	for _, test := range cases {
		_, err := Parse([]byte(replaceInValid(t, test.old, test.new)))
		var errs FieldErrors
		if !errors.As(err, &errs) || len(errs) != 1 {
			t.Errorf("%q: got %v, want one field error", test.new, err)
			continue
		}
		if errs[0].Path != test.path || !strings.Contains(errs[0].Message, test.message) || errs[0].Line == 0 {
			t.Errorf("%q: got %v, want path %s, a line and message with %q", test.new, errs[0], test.path, test.message)
		}
	}
}

// Guards against a parser that stops at the first invalid field, which would cost operators one attempt per mistake.
func TestAllInvalidFieldsAreReported(t *testing.T) {
	_, err := Parse([]byte("revision: 1\ncustomers:\n  - wieght: 1\n    weight: x\n    name: a\n    owner: o\n" +
		"pools:\n  - name: p\n    kind: 3\n    owner: o\n    deadline: 7\n"))
	want := `customers[0].wieght (line 3): is not a known field
customers[0].key_sha256 (line 3): needs at least one digest
customers[0].weight (line 4): must be a number, is "x"
pools[0].kind (line 9): "3" is not a kind: use model or service
pools[0].deadline (line 11): "7" is not a duration with a unit, such as 2s`
	if err == nil || err.Error() != want {
		t.Errorf("got:\n%v\nwant:\n%s", err, want)
	}
}

// Guards against documents that are truncated, empty, multiple, too large, or expand or nest without bound.
func TestDocumentIsRejected(t *testing.T) {
	cases := []struct{ document, message string }{
		{"", "is empty"},
		{"# only a comment\n", "is empty"},
		{"null", "must be a mapping"},
		{"[]", "must be a mapping"},
		{"revision: 1\n---\nrevision: 2\n", "more than one YAML document"},
		{"revision: 1\n#" + strings.Repeat("x", MaxDocumentBytes), "at most 1048576"},
		{"revision: \xff", "not UTF-8"},
		{"pools: &all []\n", "anchors"},
		{"pools: *all\n", "aliases"},
		{"revision: !!int 1\n", "tags"},
		{"<<: {revision: 1}\n", "merge keys"},
		{"? revision\n: 1\n", "complex keys"},
		{"%YAML 1.2\n---\nrevision: 1\n", "directives"},
		{strings.Repeat("[", 100_000), "nests more than"},
		{strings.Repeat("- ", 100_000), "nests more than"},
		{strings.Repeat("{a: ", 100_000), "nests more than"},
	}
	for _, test := range cases {
		start := time.Now()
		_, err := Parse([]byte(test.document))
		shown := test.document[:min(len(test.document), 20)]
		if err == nil || !strings.Contains(err.Error(), test.message) {
			t.Errorf("%q: got %v, want %q", shown, err, test.message)
		}
		if took := time.Since(start); took > 5*time.Second {
			t.Errorf("%q: rejected after %v", shown, took)
		}
	}
}

// Guards against defaults that override an explicit 0 and against versions that lose digits by being parsed as numbers.
func TestDefaultsAndExplicitValues(t *testing.T) {
	c := mustParse(t, validDocument)
	rose, _ := c.Pool("rose")
	orders, _ := c.Pool("orders")
	customer, _ := c.Customer("cordillera")
	got := fmt.Sprintln(rose.SkewWeight, rose.Version, orders.SkewWeight, orders.LoadMultiple, orders.QueueWait,
		orders.Deadline, customer.Class, customer.Weight, customer.Concurrent)
	if want := "0 1.10 1 1.25 2s 2m0s standard 1 0\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against a document that crashes a daemon, and against content that changes when it is converted to
// and from the canonical form that daemons exchange.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Fuzz(func(t *testing.T, document []byte) {
		c, err := Parse(document)
		if err != nil {
			var errs FieldErrors
			if !errors.As(err, &errs) || len(errs) == 0 {
				t.Fatalf("error %T %v is not a list of fields", err, err)
			}
			return
		}
		assembled, err := Assemble(c.Revision, c.Entries())
		if err != nil {
			t.Fatalf("entries can't be assembled: %v", err)
		}
		if changes := Diff(c, assembled); len(changes) > 0 || assembled.Digest() != c.Digest() {
			t.Fatalf("assembled catalogue differs: %v", changes)
		}
	})
}
