package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/placement"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/stream"
)

const (
	headerLastEventID = "Last-Event-ID"
	eventStream       = "text/event-stream"
	// maxBufferedBytes bounds a non-streaming response, which is buffered until it is complete.
	maxBufferedBytes = 8 << 20
)

// response writes the response to one request to the caller.
//
// An event stream is forwarded as it arrives, with an id on each event, and ends with [DONE] only when it is complete.
// Any other response is buffered until it is complete, so that a failure can still turn into an error or a retry.
type response struct {
	entry   *Entry
	caller  *caller
	request *request

	verifier *stream.Verifier
	admitted *pb.Admitted
	// streamID is the sealed prefix of the event ids.
	streamID  string
	started   bool
	bytesSent int64
	buffer    []byte
	line      []byte
	events    int64
	checksum  uint64
}

func newResponse(e *Entry, c *caller, request *request) *response {
	return &response{entry: e, caller: c, request: request, verifier: stream.NewVerifier(request.id, request.resumeFrom)}
}

// resumable reports whether the engine may still hold the stream that was interrupted.
func (a *response) resumable() bool {
	return a.request.pool.Resumable && a.admitted != nil && a.streaming()
}

// reset discards the state of a failed attempt from which no bytes were sent to the caller.
func (a *response) reset() {
	a.verifier = stream.NewVerifier(a.request.id, a.request.resumeFrom)
	a.admitted = nil
	a.buffer = a.buffer[:0]
}

// accept handles one event from a gate. done reports whether the response is complete.
func (a *response) accept(event *pb.ServeEvent) (done bool, err error) {
	switch body := event.Event.(type) {
	case *pb.ServeEvent_Admitted:
		a.entry.loadRelay.accept(a.request.pool.Name, body.Admitted.Loads)
		return false, a.acceptAdmitted(body.Admitted)
	case *pb.ServeEvent_Chunk:
		return false, a.acceptChunks(event.RequestId, body.Chunk)
	case *pb.ServeEvent_End:
		a.entry.loadRelay.accept(a.request.pool.Name, body.End.Loads)
		if fault := a.verifier.End(event.RequestId, body.End.Count, body.End.Checksum); fault != nil {
			return false, broken(fault)
		}
		a.events, a.checksum = body.End.Count, body.End.Checksum
		return true, nil
	case *pb.ServeEvent_Refusal:
		a.entry.loadRelay.accept(a.request.pool.Name, body.Refusal.Loads)
		a.entry.recordCharges(a.request, body.Refusal.Charges)
		return false, refusalOf(body.Refusal)
	case *pb.ServeEvent_Progress:
		return false, nil
	}
	return false, &Refusal{Reason: reason.BrokenAnswer, Ran: reason.Unknown, Message: "the gate sent an unknown event"}
}

func broken(fault *stream.Fault) error {
	return &Refusal{Reason: reason.BrokenAnswer, Ran: reason.Unknown, Message: fault.Error()}
}

func (a *response) acceptAdmitted(admitted *pb.Admitted) error {
	a.admitted = admitted
	a.buffer = a.buffer[:0]
	return nil
}

func (a *response) streaming() bool {
	return strings.HasPrefix(a.admitted.ContentType, eventStream)
}

// acceptChunks processes the chunks of one message; those of a stream are sent to the caller in a single write.
func (a *response) acceptChunks(request string, chunk *pb.Chunk) error {
	if a.admitted == nil {
		return &Refusal{Reason: reason.BrokenAnswer, Ran: reason.Unknown, Message: "a chunk came before the answer's head"}
	}
	a.line = a.line[:0]
	fault := a.acceptChunk(request, chunk.Sequence, chunk.Data)
	for i := 0; i < len(chunk.More) && fault == nil; i++ {
		fault = a.acceptChunk(request, chunk.Sequence+1+int64(i), chunk.More[i])
	}
	if len(a.line) > 0 {
		if err := a.write(a.line); err != nil {
			return err
		}
	}
	return fault
}

// acceptChunk verifies a chunk and appends it to the pending events or, without streaming, to the buffered response.
func (a *response) acceptChunk(request string, sequence int64, data []byte) error {
	fresh, fault := a.verifier.Chunk(request, sequence, data)
	switch {
	case fault != nil:
		return broken(fault)
	case !fresh:
		return nil
	case a.streaming():
		return a.addEvent(sequence, data)
	case len(a.buffer)+len(data) > maxBufferedBytes:
		return &Refusal{Reason: reason.BrokenAnswer, Ran: reason.Unknown, Message: "the answer is too large"}
	}
	a.buffer = append(a.buffer, data...)
	return nil
}

// addEvent appends one event with its id to those pending for the caller.
func (a *response) addEvent(sequence int64, data []byte) error {
	if !a.started {
		if err := a.startStream(); err != nil {
			return err
		}
	}
	line := append(a.line, "id: "...)
	line = append(line, a.streamID...)
	line = append(line, '.')
	line = strconv.AppendInt(line, sequence, 10)
	line = append(line, "\ndata: "...)
	line = append(line, data...)
	a.line = append(line, "\n\n"...)
	return nil
}

func (a *response) write(data []byte) error {
	n, err := a.caller.Response().Write(data)
	a.bytesSent += int64(n)
	if err != nil {
		return &Refusal{Reason: reason.CallerGone, Ran: reason.Unknown, Message: err.Error()}
	}
	a.caller.Response().Flush()
	return nil
}

func (a *response) startStream() error {
	streamID, err := a.entry.sealer.Seal(placement.Token{
		Kind:     placement.Stream,
		Customer: a.request.customer.Name,
		Pool:     a.request.pool.Name,
		Target:   a.admitted.Target,
		Request:  a.request.id,
		Expires:  time.Now().Add(streamExpiry),
	})
	if err != nil {
		return err
	}
	a.streamID = streamID
	a.setHeaders(eventStream)
	a.caller.Response().Header().Set("Cache-Control", "no-cache")
	a.caller.Response().WriteHeader(http.StatusOK)
	a.started = true
	return nil
}

func (a *response) setHeaders(contentType string) {
	header := a.caller.Response().Header()
	header.Set("Content-Type", contentType)
	header.Set(headerRequestID, a.request.id)
	if token := a.placementToken(); token != "" {
		header.Set(headerPlacement, token)
	}
}

// placementToken returns a sealed token that names the target holding the chat's prefix.
func (a *response) placementToken() string {
	if a.request.chat == "" {
		return ""
	}
	token, err := a.entry.sealer.Seal(placement.Token{
		Kind:     placement.Chat,
		Customer: a.request.customer.Name,
		Pool:     a.request.pool.Name,
		Target:   a.admitted.Target,
		Version:  a.request.pool.Version,
		Chat:     a.request.chat,
		Expires:  time.Now().Add(placementExpiry),
	})
	if err != nil {
		return ""
	}
	return token
}

// endEvent is the last event of a stream before [DONE], encoded as a completion chunk without choices.
type endEvent struct {
	Object    string     `json:"object"`
	Choices   []struct{} `json:"choices"`
	Placement string     `json:"placement,omitempty"`
	Events    int64      `json:"events"`
	Checksum  string     `json:"checksum"`
}

// finish sends the end of a complete response.
func (a *response) finish() error {
	a.entry.meters.Answered()
	if !a.streaming() {
		a.setHeaders(a.admitted.ContentType)
		return a.caller.Blob(int(a.admitted.Status), a.admitted.ContentType, a.buffer)
	}
	if !a.started {
		if err := a.startStream(); err != nil {
			return err
		}
	}
	end, err := json.Marshal(endEvent{
		Object:    "chat.completion.chunk",
		Choices:   []struct{}{},
		Placement: a.placementToken(),
		Events:    a.events,
		Checksum:  strconv.FormatUint(a.checksum, 16),
	})
	if err != nil {
		return err
	}
	return a.write([]byte("data: " + string(end) + "\n\ndata: [DONE]\n\n"))
}

// fail ends a request without a complete response: with an error status if nothing was sent, else with an error event.
func (a *response) fail(refusal *Refusal) error {
	if !a.started {
		return refusal
	}
	a.entry.meters.Refused(refusal.Reason, refusal.Ran)
	body, err := json.Marshal(refusal.body())
	if err != nil {
		return err
	}
	return a.write([]byte("event: error\ndata: " + string(body) + "\n\n"))
}
