package stream

import (
	"math/rand"
	"strconv"
	"testing"
)

// Guards against lost, repeated or reordered chunks when chunks arrive out of order and twice.
func TestWindowRestoresOrder(t *testing.T) {
	for seed := range int64(200) {
		random := rand.New(rand.NewSource(seed))
		const chunks = maxWindowChunks
		arrivals := append(random.Perm(chunks), random.Perm(chunks)...)
		var window ReorderBuffer
		next := int64(0)
		for _, n := range arrivals {
			if int64(n) < next {
				continue
			}
			if !window.Hold(int64(n), []byte(strconv.Itoa(n))) {
				t.Fatalf("seed %d: chunk %d was not held", seed, n)
			}
			for data, ok := window.Take(next); ok; data, ok = window.Take(next) {
				if string(data) != strconv.FormatInt(next, 10) {
					t.Fatalf("seed %d: chunk %d is %s", seed, next, data)
				}
				next++
			}
		}
		if next != chunks || !window.Empty() {
			t.Fatalf("seed %d: %d of %d chunks, window empty: %v", seed, next, chunks, window.Empty())
		}
	}
}

// Guards against unbounded memory use by a stream whose next chunk never arrives.
func TestWindowIsBounded(t *testing.T) {
	var window ReorderBuffer
	for n := range int64(maxWindowChunks) {
		if !window.Hold(n+1, nil) {
			t.Fatalf("chunk %d was not held", n+1)
		}
	}
	if window.Hold(maxWindowChunks+1, nil) {
		t.Fatal("a full window accepted another chunk")
	}
}
