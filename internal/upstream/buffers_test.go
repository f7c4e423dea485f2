package upstream

import "testing"

// Guards against responses that together hold more than the limit, against ordinary ones that are refused because others
// hold too much, and against held bytes that are never released.
func TestHeldBytes(t *testing.T) {
	const limit = 100 << 10
	shared := &buffers{limit: limit}
	first, second := reservation{buffers: shared}, reservation{buffers: shared}
	for _, step := range []struct {
		name    string
		r       *reservation
		bytes   int64
		allowed bool
	}{
		{"first", &first, 80<<10 + freeBytes, true},
		{"second beyond the limit", &second, 30<<10 + freeBytes, false},
		{"second without a reservation", &second, freeBytes, true},
		{"first shrinks", &first, 40<<10 + freeBytes, true},
		{"second", &second, 60<<10 + freeBytes, true},
		{"first beyond the limit", &first, 41<<10 + freeBytes, false},
		{"first ends", &first, 0, true},
		{"second ends", &second, 0, true},
	} {
		if got := step.r.hold(step.bytes); got != step.allowed {
			t.Errorf("%s: allowed %t", step.name, got)
		}
		if held := shared.held.Load(); held != first.bytes+second.bytes || held > limit {
			t.Errorf("%s: %d bytes held", step.name, held)
		}
	}
	if held := shared.held.Load(); held != 0 {
		t.Errorf("%d bytes held at the end", held)
	}
}
