package place

import (
	"fmt"
	"testing"
	"time"
)

// Guards against choices that take longer as exclusions are added. The target is 2 microseconds among 600 targets.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{60, 140, 600} {
		for name, q := range map[string]Query{"plain": {Service: "s", Zone: "z0", Remaining: 5 * second}, "prompt": query(1, 8000)} {
			b.Run(fmt.Sprint(name, "-", count), func(b *testing.B) {
				p := picture(count, 64)
				now := 20 * second
				for b.Loop() {
					now += time.Microsecond
					if _, refusal := p.Choose(now, q); refusal != nil {
						b.Fatal(refusal)
					}
				}
			})
		}
	}
}

// Guards against a filter that dominates a choice.
func BenchmarkFilter(b *testing.B) {
	p := picture(600, 64)
	for b.Loop() {
		p.candidates(second, p.services["s"], FirstAttempt, nil)
	}
}
