package gate

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/stream"
)

// recordedStream records the messages sent to an entry.
type recordedStream struct {
	pb.DRPCTraffic_ServeStream
	chunks chan *pb.Chunk
	err    error
}

func (s *recordedStream) Send(event *pb.ServeEvent) error {
	if s.err != nil {
		return s.err
	}
	sent := event.GetChunk()
	s.chunks <- &pb.Chunk{Sequence: sent.Sequence, Data: sent.Data, More: slices.Clone(sent.More)}
	return nil
}

func recordedCall() (*call, *recordedStream) {
	out := &recordedStream{chunks: make(chan *pb.Chunk, 100)}
	return &call{request: &pb.ServeRequest{RequestId: "r1"}, out: out}, out
}

func event(sequence int) string { return fmt.Sprintf("id: %d\ndata: t%d\n\n", sequence, sequence) }

// Guards against a token that is withheld until a later one arrives.
func TestChunkDoesNotWaitForLaterOnes(t *testing.T) {
	call, out := recordedCall()
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	go func() { _, _ = call.copyEvents(reader, stream.NewWriter(0)) }()
	for n := range 3 {
		_, _ = io.WriteString(writer, event(n))
		select {
		case chunk := <-out.chunks:
			if chunk.Sequence != int64(n) || len(chunk.More) != 0 {
				t.Fatalf("got %v", chunk)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("token %d was not sent although it was ready", n)
		}
	}
}

// Guards against tokens that are lost or renumbered when several are available at once, also before the connection
// breaks.
func TestReadyChunksAreAllSentInOrder(t *testing.T) {
	ready := event(0) + event(1) + event(1) + event(2)
	cases := []struct {
		name string
		text string
		done bool
	}{
		{"whole", ready + "data: [DONE]\n\n", true},
		{"broken off", ready, false},
		{"gap", ready + event(7), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			call, out := recordedCall()
			writer := stream.NewWriter(0)
			done, err := call.copyEvents(strings.NewReader(c.text), writer)
			if done != c.done || err != nil || writer.Next() != 3 {
				t.Fatalf("done %v, next %d: %v", done, writer.Next(), err)
			}
			chunk := <-out.chunks
			got := append([][]byte{chunk.Data}, chunk.More...)
			if chunk.Sequence != 0 || fmt.Sprintf("%s", got) != "[t0 t1 t2]" {
				t.Fatalf("from %d: %s", chunk.Sequence, got)
			}
		})
	}
}

// Guards against a relay that continues after the entry has disconnected.
func TestFailedSendEndsTheRelay(t *testing.T) {
	call, out := recordedCall()
	out.err = errors.New("the entry is gone")
	done, err := call.copyEvents(strings.NewReader(event(0)+event(1)), stream.NewWriter(0))
	if done || !errors.Is(err, out.err) {
		t.Fatalf("done %v: %v", done, err)
	}
}
