package stream

// windowChunks bounds the chunks that are held for a missing one.
const windowChunks = 64

// Window holds chunks that arrived before their turn. The zero value is empty.
type Window struct {
	held map[int64][]byte
}

// Hold keeps a chunk; it reports false when the window is full. A chunk that is held already is not replaced.
func (w *Window) Hold(sequence int64, data []byte) bool {
	if _, ok := w.held[sequence]; ok {
		return true
	}
	if len(w.held) >= windowChunks {
		return false
	}
	if w.held == nil {
		w.held = make(map[int64][]byte)
	}
	w.held[sequence] = data
	return true
}

// Take removes and returns the chunk whose turn it is, if it is held.
func (w *Window) Take(sequence int64) ([]byte, bool) {
	data, ok := w.held[sequence]
	delete(w.held, sequence)
	return data, ok
}

// Empty reports whether no chunk is held.
func (w *Window) Empty() bool { return len(w.held) == 0 }
