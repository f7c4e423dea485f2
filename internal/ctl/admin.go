package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

const (
	adminTimeout = 3 * time.Second
	// maximumReplyBytes bounds the answer of a daemon.
	maximumReplyBytes = 16 << 20
)

// badRequestError is an answer that blames the command's arguments.
type badRequestError struct{ message string }

func (e *badRequestError) Error() string { return e.message }

// checkAddresses returns a message for the first address that is not an IP number with a port.
func checkAddresses(addresses ...string) error {
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("--admin: %q is not an IP number with a port", address)
		}
	}
	return nil
}

// getAdmin reads JSON from a daemon's admin endpoint.
func getAdmin(address, path string, into any) error {
	client := http.Client{Timeout: adminTimeout}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return fmt.Errorf("%s can't be reached: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumReplyBytes))
	switch {
	case err != nil:
		return fmt.Errorf("%s broke off its answer: %w", address, err)
	case response.StatusCode == http.StatusNotFound:
		return &badRequestError{strings.TrimSpace(string(body))}
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("%s answered with status %d: %s", address, response.StatusCode, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%s sent an answer that can't be read: %w", address, err)
	}
	return nil
}
