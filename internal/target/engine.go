package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/amaranthlb/amaranthlb/internal/stricthttp"
)

const (
	maxEventBytes  = 1 << 20
	maxStatusBytes = 64 << 10
	maxKVBytes     = 64 << 20
	// doneData is the data of the event that ends a stream.
	doneData = "[DONE]"
)

// Event is one event of an engine's stream.
type Event struct {
	Sequence int64
	Data     string
	// Done marks the end of the stream; the event has no data.
	Done bool
}

// ErrNoSequence means that an event has no valid sequence number.
var ErrNoSequence = errors.New("the engine sent an event without a number")

var errTooLong = errors.New("the response exceeds the size limit")

// Events decodes an engine's event stream. If the stream is truncated, the sequence ends without a Done event.
func Events(body io.Reader) iter.Seq2[Event, error] {
	return func(yield func(Event, error) bool) {
		for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
			if err != nil {
				yield(Event{}, err)
				return
			}
			if event.Data == doneData {
				yield(Event{Done: true}, nil)
				return
			}
			sequence, err := strconv.ParseInt(event.LastEventID, 10, 64)
			if err != nil {
				yield(Event{}, ErrNoSequence)
				return
			}
			if !yield(Event{Sequence: sequence, Data: event.Data}, nil) {
				return
			}
		}
	}
}

// Resume attaches to a stream that is running or ended recently.
func (c *Client) Resume(ctx context.Context, address, id string, from int64) (*Response, error) {
	path := fmt.Sprintf("/v1/streams/%s?from=%d", url.PathEscape(id), from)
	request := Request{ID: id, Method: http.MethodGet, Path: path}
	return c.Do(ctx, address, request, &Attempt{})
}

// Cancel cancels a request on an engine.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	request := Request{ID: id, Method: http.MethodDelete, Path: "/v1/streams/" + url.PathEscape(id)}
	response, err := c.Do(ctx, address, request, &Attempt{})
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// States of a request that its target knows.
const (
	StateRunning = "running"
	StateDone    = "done"
)

// RequestState is the state of a request as its target reports it.
type RequestState struct {
	// State is absent, StateRunning or StateDone. The other fields describe the response of a request that is done.
	State       string          `json:"state"`
	Status      int             `json:"status"`
	ContentType string          `json:"content_type"`
	Body        json.RawMessage `json:"body"`
}

// RequestState queries a target for the state of a request.
func (c *Client) RequestState(ctx context.Context, address, id string) (RequestState, error) {
	var state RequestState
	if err := c.getJSON(ctx, address, "/v1/requests/"+url.PathEscape(id), &state); err != nil {
		return RequestState{}, err
	}
	if state.State == StateDone && !stricthttp.ValidStatus(state.Status) {
		return RequestState{}, &Error{Kind: Failed, Address: address, Cause: fmt.Errorf("recorded status %d", state.Status)}
	}
	return state, nil
}

// Status is a target's report of its load and state.
type Status struct {
	Load    int `json:"load"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// AgeMilliseconds is the age of the load figures.
	AgeMilliseconds int64    `json:"age_ms"`
	Fence           uint64   `json:"fence"`
	Model           string   `json:"model"`
	Version         string   `json:"version"`
	Adapters        []string `json:"adapters"`
	Role            string   `json:"role"`
	Incarnation     uint64   `json:"incarnation"`
	// Busy is true while the engine executes an order.
	Busy bool `json:"busy"`
}

// Age returns the age of the load figures.
func (s Status) Age() time.Duration { return time.Duration(s.AgeMilliseconds) * time.Millisecond }

// Status fetches a target's status report.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	var status Status
	err := c.getJSON(ctx, address, "/status", &status)
	return status, err
}

// Order is a command to an engine.
type Order struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// ErrStaleFence means that the engine rejected an order because of its fencing number.
var ErrStaleFence = errors.New("the engine has seen a higher fencing number")

// SendOrder sends an order to an engine. After a server error the engine may have accepted the order.
func (c *Client) SendOrder(ctx context.Context, address string, order Order, guard func() bool) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	request := Request{Method: http.MethodPost, Path: "/orders", ContentType: "application/json", Body: body}
	response, err := c.DoOnce(ctx, address, request, &Attempt{Guard: guard})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.Status {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return ErrStaleFence
	}
	err = fmt.Errorf("the engine answered the order with status %d", response.Status)
	if response.Status >= http.StatusInternalServerError {
		return &Error{Kind: Failed, Address: address, Cause: err}
	}
	return err
}

// ExportKV fetches the KV cache of a chat's prefix.
func (c *Client) ExportKV(ctx context.Context, address string, chat []byte) ([]byte, error) {
	request := Request{Method: http.MethodPost, Path: "/kv/export", ContentType: "application/json", Body: chat}
	return c.readAll(ctx, address, request, maxKVBytes)
}

// ImportKV uploads an exported KV cache to another engine.
func (c *Client) ImportKV(ctx context.Context, address string, cache []byte) error {
	request := Request{Method: http.MethodPost, Path: "/kv/import", ContentType: "application/octet-stream", Body: cache}
	_, err := c.readAll(ctx, address, request, maxStatusBytes)
	return err
}

func (c *Client) getJSON(ctx context.Context, address, path string, into any) error {
	body, err := c.readAll(ctx, address, Request{Method: http.MethodGet, Path: path}, maxStatusBytes)
	if err != nil {
		return err
	}
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(into); err != nil {
		return &Error{Kind: Failed, Address: address, Cause: err}
	}
	return nil
}

func (c *Client) readAll(ctx context.Context, address string, request Request, limit int64) ([]byte, error) {
	response, err := c.Do(ctx, address, request, &Attempt{})
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errTooLong
	}
	if err != nil {
		return nil, &Error{Kind: Failed, Address: address, Cause: err}
	}
	if response.Status != http.StatusOK {
		return nil, &Error{Kind: Failed, Address: address, Cause: fmt.Errorf("status %d", response.Status)}
	}
	return body, nil
}
