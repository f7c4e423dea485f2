package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/placement"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/stream"
	"github.com/amaranthlb/amaranthlb/internal/stricthttp"
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
	pending   []byte
	events    int64
	checksum  uint64
}

func newResponse(e *Entry, c *caller, request *request) *response {
	return &response{entry: e, caller: c, request: request, verifier: stream.NewVerifier(request.id, request.resumeFrom)}
}

// resumable reports whether the engine may still hold the stream that was interrupted.
func (r *response) resumable() bool {
	return r.request.pool.Resumable && r.admitted != nil && r.streaming()
}

// reset discards the state of a failed attempt from which no bytes were sent to the caller.
func (r *response) reset() {
	r.verifier = stream.NewVerifier(r.request.id, r.request.resumeFrom)
	r.admitted = nil
	r.buffer = r.buffer[:0]
}

// accept handles one event from a gate. done reports whether the response is complete.
func (r *response) accept(event *pb.ServeEvent) (done bool, err error) {
	switch body := event.Event.(type) {
	case *pb.ServeEvent_Admitted:
		r.entry.loadRelay.accept(r.request.pool.Name, body.Admitted.Loads)
		return false, r.acceptAdmitted(body.Admitted)
	case *pb.ServeEvent_Chunk:
		return false, r.acceptChunks(event.RequestId, body.Chunk)
	case *pb.ServeEvent_End:
		r.entry.loadRelay.accept(r.request.pool.Name, body.End.Loads)
		if fault := r.verifier.End(event.RequestId, body.End.Count, body.End.Checksum); fault != nil {
			return false, broken(fault)
		}
		r.events, r.checksum = body.End.Count, body.End.Checksum
		return true, nil
	case *pb.ServeEvent_Refusal:
		r.entry.loadRelay.accept(r.request.pool.Name, body.Refusal.Loads)
		r.entry.recordCharges(r.request, body.Refusal.Charges)
		return false, refusalOf(body.Refusal)
	case *pb.ServeEvent_Progress:
		return false, nil
	}
	return false, &Refusal{Reason: reason.BrokenAnswer, Ran: reason.MayHaveRun, Message: "the gate sent an unknown event"}
}

func broken(fault *stream.Fault) error {
	return &Refusal{Reason: reason.BrokenAnswer, Ran: reason.MayHaveRun, Message: fault.Error()}
}

func (r *response) acceptAdmitted(admitted *pb.Admitted) error {
	if !stricthttp.ValidStatus(int(admitted.Status)) {
		return &Refusal{Reason: reason.BrokenAnswer, Ran: reason.MayHaveRun, Message: fmt.Sprintf("the answer has status %d", admitted.Status)}
	}
	r.admitted = admitted
	r.buffer = r.buffer[:0]
	return nil
}

func (r *response) streaming() bool {
	return strings.HasPrefix(r.admitted.ContentType, eventStream)
}

// acceptChunks processes the chunks of one message; those of a stream are sent to the caller in a single write.
func (r *response) acceptChunks(request string, chunk *pb.Chunk) error {
	if r.admitted == nil {
		return &Refusal{Reason: reason.BrokenAnswer, Ran: reason.MayHaveRun, Message: "a chunk came before the answer's head"}
	}
	r.pending = r.pending[:0]
	fault := r.acceptChunk(request, chunk.Sequence, chunk.Data)
	for i := 0; i < len(chunk.More) && fault == nil; i++ {
		fault = r.acceptChunk(request, chunk.Sequence+1+int64(i), chunk.More[i])
	}
	if len(r.pending) > 0 {
		if err := r.write(r.pending); err != nil {
			return err
		}
	}
	return fault
}

// acceptChunk verifies a chunk and appends it to the pending events or, without streaming, to the buffered response.
func (r *response) acceptChunk(request string, sequence int64, data []byte) error {
	fresh, fault := r.verifier.Chunk(request, sequence, data)
	switch {
	case fault != nil:
		return broken(fault)
	case !fresh:
		return nil
	case r.streaming():
		return r.addEvent(sequence, data)
	case len(r.buffer)+len(data) > maxBufferedBytes:
		return &Refusal{Reason: reason.BrokenAnswer, Ran: reason.MayHaveRun, Message: "the answer is too large"}
	}
	r.buffer = append(r.buffer, data...)
	return nil
}

// addEvent appends one event with its id to those pending for the caller.
func (r *response) addEvent(sequence int64, data []byte) error {
	if !r.started {
		if err := r.startStream(); err != nil {
			return err
		}
	}
	pending := append(r.pending, "id: "...)
	pending = append(pending, r.streamID...)
	pending = append(pending, '.')
	pending = strconv.AppendInt(pending, sequence, 10)
	pending = append(pending, "\ndata: "...)
	pending = append(pending, data...)
	r.pending = append(pending, "\n\n"...)
	return nil
}

func (r *response) write(data []byte) error {
	n, err := r.caller.Response().Write(data)
	r.bytesSent += int64(n)
	if err != nil {
		return &Refusal{Reason: reason.CallerGone, Ran: reason.MayHaveRun, Message: err.Error()}
	}
	r.caller.Response().Flush()
	return nil
}

func (r *response) startStream() error {
	streamID, err := r.entry.sealer.Seal(placement.Token{
		Kind:     placement.Stream,
		Customer: r.request.customer.Name,
		Pool:     r.request.pool.Name,
		Target:   r.admitted.Target,
		Request:  r.request.id,
		Expires:  time.Now().Add(streamExpiry),
	})
	if err != nil {
		return err
	}
	r.streamID = streamID
	r.setHeaders(eventStream)
	r.caller.Response().Header().Set("Cache-Control", "no-cache")
	r.caller.Response().WriteHeader(http.StatusOK)
	r.started = true
	return nil
}

func (r *response) setHeaders(contentType string) {
	header := r.caller.Response().Header()
	header.Set("Content-Type", contentType)
	header.Set(headerRequestID, r.request.id)
	if token := r.placementToken(); token != "" {
		header.Set(headerPlacement, token)
	}
}

// placementToken returns a sealed token that names the target holding the chat's prefix.
func (r *response) placementToken() string {
	if r.request.chat == "" {
		return ""
	}
	token, err := r.entry.sealer.Seal(placement.Token{
		Kind:     placement.Chat,
		Customer: r.request.customer.Name,
		Pool:     r.request.pool.Name,
		Target:   r.admitted.Target,
		Version:  r.request.pool.Version,
		Chat:     r.request.chat,
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
func (r *response) finish() error {
	r.entry.meters.Answered()
	if !r.streaming() {
		r.setHeaders(r.admitted.ContentType)
		return r.caller.Blob(int(r.admitted.Status), r.admitted.ContentType, r.buffer)
	}
	if !r.started {
		if err := r.startStream(); err != nil {
			return err
		}
	}
	end, err := json.Marshal(endEvent{
		Object:    "chat.completion.chunk",
		Choices:   []struct{}{},
		Placement: r.placementToken(),
		Events:    r.events,
		Checksum:  strconv.FormatUint(r.checksum, 16),
	})
	if err != nil {
		return err
	}
	return r.write([]byte("data: " + string(end) + "\n\ndata: [DONE]\n\n"))
}

// fail ends a request without a complete response: with an error status if nothing was sent, else with an error event.
func (r *response) fail(refusal *Refusal) error {
	if !r.started {
		return refusal
	}
	r.entry.meters.Refused(refusal.Reason, refusal.Ran)
	body, err := json.Marshal(refusal.body())
	if err != nil {
		return err
	}
	return r.write([]byte("event: error\ndata: " + string(body) + "\n\n"))
}
