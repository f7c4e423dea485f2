package membudget

import "testing"

// Guards against responses that together hold more than the limit, against ordinary ones that are refused because others
// hold too much, and against held bytes that are never released.
func TestHeldBytes(t *testing.T) {
	const limit = 100 << 10
	shared := New(limit)
	first, second := shared.Reservation(), shared.Reservation()
	for _, step := range []struct {
		name    string
		r       *Reservation
		bytes   int64
		allowed bool
	}{
		{"first", &first, 80<<10 + FreeBytes, true},
		{"second beyond the limit", &second, 30<<10 + FreeBytes, false},
		{"second without a reservation", &second, FreeBytes, true},
		{"first shrinks", &first, 40<<10 + FreeBytes, true},
		{"second", &second, 60<<10 + FreeBytes, true},
		{"first beyond the limit", &first, 41<<10 + FreeBytes, false},
		{"first ends", &first, 0, true},
		{"second ends", &second, 0, true},
	} {
		if got := step.r.Hold(step.bytes); got != step.allowed {
			t.Errorf("%s: allowed %t", step.name, got)
		}
		if held := shared.Held(); held != first.bytes+second.bytes || held > limit {
			t.Errorf("%s: %d bytes held", step.name, held)
		}
	}
	if held := shared.Held(); held != 0 {
		t.Errorf("%d bytes held at the end", held)
	}
}
