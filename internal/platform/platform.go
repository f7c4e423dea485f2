// Package platform reads what the platform publishes: configuration documents and the VM list.
//
// Both are long polls: a call returns at once when there is something newer than the revision given, and else
// waits at the platform. Nothing is ever written.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/amaranthlb/amaranthlb/internal/control"
)

// Errors of the client.
var (
	// ErrUnchanged means that nothing newer was published within the wait.
	ErrUnchanged = errors.New("nothing newer is published")
	// ErrBusy means that the service refused the read because of its rate limit.
	ErrBusy = errors.New("the read rate of the platform is used up")
	// ErrNotFound means that no document has the key.
	ErrNotFound = errors.New("no document has this key")
)

const (
	maximumBody  = 8 << 20
	answerMargin = 5 * time.Second
)

// VM is one machine of the platform's list.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Role is entry, gate or target.
	Role string `json:"role"`
	// State is live or leaving.
	State string `json:"state"`
}

// VMList is one revision of the list.
type VMList struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// Document is one revision of a configuration value.
type Document struct {
	Revision uint64
	Body     []byte
}

// Client reads one platform.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at a base URL.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{}}
}

// Config returns a document that is newer than the revision, waiting at most the given time for one.
func (c *Client) Config(ctx context.Context, key string, after uint64, wait time.Duration) (Document, error) {
	body, header, err := c.get(ctx, "/v1/config/"+url.PathEscape(key), after, wait)
	if err != nil {
		return Document{}, trace.Wrap(err, "reading configuration %s", key)
	}
	revision, err := strconv.ParseUint(header.Get("X-Revision"), 10, 64)
	if err != nil {
		return Document{}, trace.BadParameter("configuration %s has no revision", key)
	}
	return Document{Revision: revision, Body: body}, nil
}

// VMs returns a list that is newer than the revision, waiting at most the given time for one.
func (c *Client) VMs(ctx context.Context, after uint64, wait time.Duration) (VMList, error) {
	body, _, err := c.get(ctx, "/v1/vms", after, wait)
	if err != nil {
		return VMList{}, trace.Wrap(err, "reading the VM list")
	}
	var list VMList
	if err := json.Unmarshal(body, &list); err != nil {
		return VMList{}, trace.BadParameter("the VM list is not valid JSON: %s", err)
	}
	return list, nil
}

const (
	watchWait  = 20 * time.Second
	watchPause = 500 * time.Millisecond
)

// WatchVMs calls accept with each newer VM list until the context ends, and failed for each read that got no answer.
func (c *Client) WatchVMs(ctx context.Context, accept func(VMList), failed func()) {
	var revision uint64
	for ctx.Err() == nil {
		list, err := c.VMs(ctx, revision, watchWait)
		if errors.Is(err, ErrUnchanged) {
			continue
		}
		if err != nil {
			failed()
			control.Sleep(ctx, watchPause)
			continue
		}
		revision = list.Revision
		accept(list)
	}
}

func (c *Client) get(ctx context.Context, path string, after uint64, wait time.Duration) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	location := fmt.Sprintf("%s%s?after=%d&wait=%g", c.base, path, after, wait.Seconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, location, nil)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, trace.ConnectionProblem(err, "the platform can't be reached")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumBody))
	if err != nil {
		return nil, nil, trace.ConnectionProblem(err, "the platform's answer broke off")
	}
	return body, response.Header, statusError(response.StatusCode)
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotModified:
		return ErrUnchanged
	case http.StatusTooManyRequests:
		return ErrBusy
	case http.StatusNotFound:
		return ErrNotFound
	}
	return trace.ConnectionProblem(nil, "the platform answered with status %d", status)
}
