package stream

// maxWindowChunks bounds the chunks that are buffered while an earlier one is missing.
const maxWindowChunks = 64

// ReorderBuffer buffers chunks that arrived out of order. The zero value is empty.
type ReorderBuffer struct {
	chunks map[int64][]byte
}

// Hold buffers a chunk. It returns false if the window is full. A chunk that is already buffered is not replaced.
func (w *ReorderBuffer) Hold(sequence int64, data []byte) bool {
	if _, ok := w.chunks[sequence]; ok {
		return true
	}
	if len(w.chunks) >= maxWindowChunks {
		return false
	}
	if w.chunks == nil {
		w.chunks = make(map[int64][]byte)
	}
	w.chunks[sequence] = data
	return true
}

// Take removes and returns the chunk with the given sequence number, if it is buffered.
func (w *ReorderBuffer) Take(sequence int64) ([]byte, bool) {
	data, ok := w.chunks[sequence]
	delete(w.chunks, sequence)
	return data, ok
}

// Empty reports whether no chunk is buffered.
func (w *ReorderBuffer) Empty() bool { return len(w.chunks) == 0 }
