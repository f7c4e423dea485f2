// Package platform is a read-only client for the configuration documents and the VM list that the platform publishes.
//
// Both are read by long polling: a call returns at once if there is a newer revision than the one given, and otherwise
// waits at the platform.
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
	"github.com/amaranthlb/amaranthlb/internal/stricthttp"
)

// Errors returned by Client.
var (
	// ErrUnchanged means that no newer revision was published within the wait time.
	ErrUnchanged = errors.New("no newer revision published")
	// ErrRateLimited means that the platform rejected the read because of its rate limit.
	ErrRateLimited = errors.New("platform read rate limit exceeded")
	// ErrNotFound means that there is no document with the key.
	ErrNotFound = errors.New("no document with this key")
)

const (
	maxBodyBytes   = 8 << 20
	responseMargin = 5 * time.Second
)

// VM is an entry of the platform's VM list.
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

// VMList is one revision of the VM list.
type VMList struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// Document is one revision of a configuration document.
type Document struct {
	Revision uint64
	Body     []byte
}

// Client reads from one platform.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the platform at a base URL.
func NewClient(base string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	return &Client{base: base, http: &http.Client{Transport: stricthttp.NewTransport(transport)}}
}

// Config returns a document newer than the given revision. It waits at most the given time.
func (c *Client) Config(ctx context.Context, key string, after uint64, wait time.Duration) (Document, error) {
	body, header, err := c.get(ctx, "/v1/config/"+url.PathEscape(key), after, wait)
	if err != nil {
		return Document{}, trace.Wrap(err, "reading configuration %s", key)
	}
	revision, err := strconv.ParseUint(header.Get("X-Revision"), 10, 64)
	if err != nil {
		return Document{}, trace.BadParameter("configuration %s: missing or invalid X-Revision header", key)
	}
	return Document{Revision: revision, Body: body}, nil
}

// VMs returns a VM list newer than the given revision. It waits at most the given time.
func (c *Client) VMs(ctx context.Context, after uint64, wait time.Duration) (VMList, error) {
	body, _, err := c.get(ctx, "/v1/vms", after, wait)
	if err != nil {
		return VMList{}, trace.Wrap(err, "reading the VM list")
	}
	var list VMList
	if err := json.Unmarshal(body, &list); err != nil {
		return VMList{}, trace.BadParameter("VM list: invalid JSON: %s", err)
	}
	return list, nil
}

const (
	pollWait       = 20 * time.Second
	pollRetryDelay = 500 * time.Millisecond
)

// WatchVMs calls accept with each newer VM list, and failed after each failed read, until the context is done.
func (c *Client) WatchVMs(ctx context.Context, accept func(VMList), failed func()) {
	var revision uint64
	for ctx.Err() == nil {
		list, err := c.VMs(ctx, revision, pollWait)
		if errors.Is(err, ErrUnchanged) {
			continue
		}
		if err != nil {
			failed()
			control.Sleep(ctx, pollRetryDelay)
			continue
		}
		revision = list.Revision
		accept(list)
	}
}

func (c *Client) get(ctx context.Context, path string, after uint64, wait time.Duration) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	location := fmt.Sprintf("%s%s?after=%d&wait=%g", c.base, path, after, wait.Seconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, location, nil)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, trace.ConnectionProblem(err, "platform unreachable")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err != nil {
		return nil, nil, trace.ConnectionProblem(err, "platform response truncated")
	}
	if len(body) > maxBodyBytes {
		return nil, nil, trace.LimitExceeded("platform response exceeds %d bytes", maxBodyBytes)
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
		return ErrRateLimited
	case http.StatusNotFound:
		return ErrNotFound
	}
	return trace.ConnectionProblem(nil, "platform responded with status %d", status)
}
