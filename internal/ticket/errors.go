package ticket

import "fmt"

// MalformedError reports that data is not a valid ticket, whatever the key.
type MalformedError struct {
	Field   string
	Problem string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed ticket: %s: %s", e.Field, e.Problem)
}

// ForgedError reports that no key verifies the signature: the ticket was altered, or signed with another key.
type ForgedError struct{}

// Error implements error.
func (e *ForgedError) Error() string {
	return "ticket signature does not verify"
}

// KeyError reports that a codec can't be created from the given keys.
type KeyError struct {
	Index   int
	Problem string
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("ticket key %d: %s", e.Index, e.Problem)
}
