package stream

import "testing"

type sent struct {
	sequence int64
	data     string
}

// Guards against a response with lost, repeated or reordered chunks that is accepted as complete.
func TestVerifierAcceptsOnlyCompleteResponses(t *testing.T) {
	complete := []sent{{0, "a"}, {1, "b"}, {2, "c"}}
	cases := []struct {
		name   string
		chunks []sent
		want   FaultKind
	}{
		{"whole", complete, ""},
		{"repeated chunk", []sent{{0, "a"}, {1, "b"}, {1, "b"}, {2, "c"}}, ""},
		{"lost chunk", []sent{{0, "a"}, {2, "c"}}, Gap},
		{"lost end", complete[:2], WrongCount},
		{"swapped", []sent{{1, "b"}, {0, "a"}, {2, "c"}}, Gap},
		{"altered", []sent{{0, "a"}, {1, "x"}, {2, "c"}}, WrongChecksum},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			writer := NewWriter(0)
			for _, chunk := range complete {
				writer.Add([]byte(chunk.data))
			}
			count, checksum := writer.End()
			if got := verify(c.chunks, count, checksum); got != c.want {
				t.Fatalf("fault is %q, want %q", got, c.want)
			}
		})
	}
}

func verify(chunks []sent, count int64, checksum uint64) FaultKind {
	verifier := NewVerifier("r1", 0)
	for _, chunk := range chunks {
		if _, fault := verifier.Chunk("r1", chunk.sequence, []byte(chunk.data)); fault != nil {
			return fault.Kind
		}
	}
	if fault := verifier.End("r1", count, checksum); fault != nil {
		return fault.Kind
	}
	return ""
}

// Guards against accepting a chunk of another request.
func TestVerifierRejectsChunkOfAnotherRequest(t *testing.T) {
	verifier := NewVerifier("r1", 0)
	if _, fault := verifier.Chunk("r2", 0, []byte("a")); fault == nil || fault.Kind != WrongRequest {
		t.Fatalf("fault is %v", fault)
	}
}

// Guards against a resumed response that fails its checksum because the first part is counted twice.
func TestResumedResponseIsComplete(t *testing.T) {
	verifier := NewVerifier("r1", 0)
	verifier.Chunk("r1", 0, []byte("a"))
	verifier.ResetChecksum()
	writer := NewWriter(verifier.Next())
	sequence := writer.Add([]byte("b"))
	if ok, fault := verifier.Chunk("r1", sequence, []byte("b")); !ok || fault != nil {
		t.Fatalf("chunk rejected: %v", fault)
	}
	count, checksum := writer.End()
	if fault := verifier.End("r1", count, checksum); fault != nil {
		t.Fatal(fault)
	}
}
