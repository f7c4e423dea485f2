package gossip

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"time"
)

const (
	lifetime   = 10 * time.Second
	relayDelay = 500 * time.Millisecond
)

// Guards against a delayed message that restores an old version.
func TestOldVersionDoesNotReplaceNewer(t *testing.T) {
	table := New[string](lifetime)
	table.Merge(time.Second, "p", []Record[string]{{Key: "k", Version: 2, Payload: "new"}})
	accepted := table.Merge(2*time.Second, "q", []Record[string]{{Key: "k", Version: 1, Payload: "old"}})
	if len(accepted) != 0 || table.All(2 * time.Second)[0].Payload != "new" {
		t.Fatalf("old version replaced the newer one: %v", table.All(2*time.Second))
	}
}

// Guards against control traffic that repeats records the peer already holds.
func TestRecordCrossesALinkOnce(t *testing.T) {
	table := New[string](lifetime)
	table.Put(0, "own", 1, "a")
	table.Merge(0, "p", []Record[string]{{Key: "k", Version: 1, Payload: "b"}})
	if records := table.PendingRecords(0, "p", 0); len(records) != 1 || records[0].Key != "own" {
		t.Fatalf("first message: got %v, want only the local record", records)
	}
	if records := table.PendingRecords(0, "p", 0); len(records) != 0 {
		t.Fatalf("second message repeats %v", records)
	}
	table.Forget("p")
	if records := table.PendingRecords(0, "p", 0); len(records) != 2 {
		t.Fatalf("after Forget: got %v, want both records", records)
	}
}

// Guards against ages that shrink in transit, which would make stale loads look fresh.
func TestAgeGrowsThroughRelaysUntilExpiry(t *testing.T) {
	a, b := New[string](lifetime), New[string](lifetime)
	a.Put(0, "k", 1, "x")
	b.Merge(500*time.Second, "a", a.PendingRecords(time.Second, "b", 100*time.Millisecond))
	if age := b.All(501 * time.Second)[0].Age; age != 2100*time.Millisecond {
		t.Fatalf("got age %s, want 2.1s", age)
	}
	b.Expire(520 * time.Second)
	if len(b.All(520*time.Second)) != 0 {
		t.Fatal("the record did not expire")
	}
}

var seedFlag = flag.Int64("seed", 1, "seed for the random schedules")

func seededRandom(t *testing.T) *rand.Rand {
	t.Logf("seed %d; -args -seed=N sets another", *seedFlag)
	return rand.New(rand.NewSource(*seedFlag))
}

// Guards against daemons that never receive a record although messages are eventually delivered.
func TestRecordsSpreadDespiteLoss(t *testing.T) {
	const nodes, rounds = 9, 60
	random := seededRandom(t)
	tables := make([]*Table[int], nodes)
	for i := range tables {
		tables[i] = New[int](time.Hour)
		tables[i].Put(0, fmt.Sprint(i), 1, i)
	}
	for round := range rounds {
		now := time.Duration(round) * time.Second
		for i := range tables {
			for _, distance := range []int{1, 2} {
				exchange(random, tables, now, i, (i+distance)%nodes)
			}
		}
	}
	for i, table := range tables {
		if count := len(table.All(time.Minute)); count != nodes {
			t.Errorf("daemon %d holds %d of %d records", i, count, nodes)
		}
	}
}

func exchange(random *rand.Rand, tables []*Table[int], now time.Duration, from, to int) {
	if random.Float64() < 0.3 {
		tables[from].PendingRecords(now, fmt.Sprint(to), 0)
		tables[from].Forget(fmt.Sprint(to))
		return
	}
	tables[to].Merge(now, fmt.Sprint(from), tables[from].PendingRecords(now, fmt.Sprint(to), 0))
	tables[from].Merge(now, fmt.Sprint(to), tables[to].PendingRecords(now, fmt.Sprint(from), 0))
}

// Guards against a renewal that makes another version look fresh, or that makes a record look older than it is.
func TestRenewAffectsOnlyTheSameVersion(t *testing.T) {
	cases := []struct {
		name    string
		version uint64
		age     time.Duration
		want    time.Duration
	}{
		{"same version", 2, time.Second, time.Second},
		{"other version", 1, time.Second, 6 * time.Second},
		{"older than held", 2, 7 * time.Second, 6 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := New[string](lifetime)
			table.Merge(2*time.Second, "p", []Record[string]{{Key: "k", Version: 2, Payload: "a"}})
			renewed, held := table.Renew(8*time.Second, "k", c.version, c.age)
			if !held || (len(renewed) == 1) != (c.want == c.age) {
				t.Fatalf("renewed %v, held %v", renewed, held)
			}
			if age := table.All(8 * time.Second)[0].Age; age != c.want {
				t.Fatalf("got age %s, want %s", age, c.want)
			}
		})
	}
	if _, held := New[string](lifetime).Renew(0, "k", 1, 0); held {
		t.Fatal("a record that was never received is reported as held")
	}
}

// Guards against a record that is renewed continuously and therefore never relayed to gates that its origin cannot
// reach.
func TestRenewedRecordIsRelayed(t *testing.T) {
	table := New[string](lifetime)
	table.Merge(0, "origin", []Record[string]{{Key: "k", Version: 1, Payload: "a"}})
	table.Renew(relayDelay, "k", 1, 0)
	if records := table.PendingRecords(relayDelay, "p", 0); len(records) != 1 || records[0].Age != 0 {
		t.Fatalf("relayed records: got %v, want one with age 0", records)
	}
}
