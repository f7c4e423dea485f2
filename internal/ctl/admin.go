package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/stricthttp"
)

const (
	adminTimeout = 3 * time.Second
	// maxReplyBytes bounds the response of a daemon.
	maxReplyBytes = 16 << 20
)

// badRequestError is a daemon's response that reports invalid command arguments.
type badRequestError struct{ message string }

func (e *badRequestError) Error() string { return e.message }

// checkAddresses returns an error for the first address that is not an IP address with a port.
func checkAddresses(addresses ...string) error {
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("--admin: %q is not an IP address with a port", address)
		}
	}
	return nil
}

// getAdmin fetches JSON from a daemon's admin endpoint.
func getAdmin(address, path string, into any) error {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true
	client := http.Client{Timeout: adminTimeout, Transport: stricthttp.NewTransport(transport)}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return fmt.Errorf("%s can't be reached: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	switch {
	case err != nil:
		return fmt.Errorf("%s: response truncated: %w", address, err)
	case response.StatusCode == http.StatusNotFound:
		return &badRequestError{strings.TrimSpace(string(body))}
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("%s responded with status %d: %s", address, response.StatusCode, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%s sent an invalid response: %w", address, err)
	}
	return nil
}
