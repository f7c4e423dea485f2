package gate

import (
	"io"

	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/stream"
	"github.com/amaranthlb/amaranthlb/internal/target"
)

// batchBytes is the amount of data at which a batch of chunks is sent.
const batchBytes = 32 << 10

// chunkBatch collects chunks that are available at the same time. It is sent before the target's connection is read
// again, so that no chunk waits for a later one.
type chunkBatch struct {
	call   *call
	writer *stream.Writer
	first  int64
	chunks [][]byte
	bytes  int
	err    error
}

// copy relays events in sequence order. It returns true at the end marker, and false if the connection breaks or an
// event is missing.
func (b *chunkBatch) copy(body io.Reader) (bool, error) {
	var early stream.ReorderBuffer
	for event, err := range target.Events(&flushingReader{source: body, batch: b}) {
		switch {
		case err != nil:
			return false, err
		case event.Done:
			return early.Empty(), nil
		case event.Sequence < b.writer.Next():
			continue
		case event.Sequence > b.writer.Next():
			if !early.Hold(event.Sequence, []byte(event.Data)) {
				return false, nil
			}
			continue
		}
		if err := b.addInOrder([]byte(event.Data), &early); err != nil {
			return false, err
		}
	}
	return false, nil
}

// addInOrder adds the next chunk and the buffered chunks that follow it.
func (b *chunkBatch) addInOrder(data []byte, early *stream.ReorderBuffer) error {
	for ok := true; ok; data, ok = early.Take(b.writer.Next()) {
		if err := b.add(data); err != nil {
			return err
		}
	}
	return nil
}

func (b *chunkBatch) add(data []byte) error {
	sequence := b.writer.Add(data)
	if len(b.chunks) == 0 {
		b.first = sequence
	}
	b.chunks = append(b.chunks, data)
	b.bytes += len(data)
	if b.bytes < batchBytes {
		return nil
	}
	return b.flush()
}

// flush sends the collected chunks. After a failure nothing more is sent.
func (b *chunkBatch) flush() error {
	if b.err != nil || len(b.chunks) == 0 {
		return b.err
	}
	chunk := &pb.Chunk{Sequence: b.first, Data: b.chunks[0], More: b.chunks[1:]}
	b.err = b.call.send(&pb.ServeEvent{Event: &pb.ServeEvent_Chunk{Chunk: chunk}})
	b.chunks = b.chunks[:0]
	b.bytes = 0
	return b.err
}

// flushingReader flushes the batch before each read of the source, which may block.
type flushingReader struct {
	source io.Reader
	batch  *chunkBatch
}

func (r *flushingReader) Read(p []byte) (int, error) {
	if err := r.batch.flush(); err != nil {
		return 0, err
	}
	return r.source.Read(p)
}
