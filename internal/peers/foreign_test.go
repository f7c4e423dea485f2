package peers

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/standin/loopback"
)

// Guards against datagrams that count as those of another router, and against dropping those of their sender.
func TestDatagramsCountFromTheirAddressOnly(t *testing.T) {
	var links []*Link
	var addresses []string
	for range 2 {
		address, err := loopback.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		link, err := Open(address, noCounter{})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = link.Close() }()
		links, addresses = append(links, link), append(addresses, address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan string, 4)
	go links[0].Receive(ctx, func(digest *pb.Digest) { got <- digest.Address }, func(err error) {
		if errors.Is(err, ErrForeignSource) {
			got <- "foreign"
		}
	})
	for _, c := range []struct{ stated, want string }{
		{"127.0.0.2:9", "foreign"}, {"", "foreign"}, {"not an address", "foreign"}, {addresses[1], addresses[1]},
	} {
		if err := links[1].Send(&pb.Digest{Address: c.stated}, addresses[:1]); err != nil {
			t.Fatal(err)
		}
		select {
		case result := <-got:
			if result != c.want {
				t.Errorf("stated %q: got %q", c.stated, result)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("stated %q: nothing received", c.stated)
		}
	}
}

type noCounter struct{}

func (noCounter) ControlSent(int)     {}
func (noCounter) ControlReceived(int) {}

// Guards against members without limit, and against forged addresses in lists of members that displace real routers.
func TestMembersAreLimited(t *testing.T) {
	m := NewMembers("10.0.0.1:1", []string{"10.0.0.9:1"}, rand.New(rand.NewPCG(1, 1)))
	for i := range 2 * maxMembers {
		m.MergeSightings(0, []Sighting{{Address: fmt.Sprintf("10.1.%d.%d:1", i>>8, i&255)}})
	}
	m.RecordDatagram(time.Second, "10.0.0.2:1", 1, false, Relayed)
	if len(m.members) != maxMembers || !m.Knows(time.Second, "10.0.0.2") {
		t.Errorf("%d members; the sender of a datagram is known: %t", len(m.members), m.Knows(time.Second, "10.0.0.2"))
	}
	if m.Knows(time.Second, "10.0.0") || m.Knows(time.Minute, "10.0.0.2") || !m.Knows(time.Minute, "10.0.0.9") {
		t.Error("a part of an address or a lost router is known, or a seed is not")
	}
}
