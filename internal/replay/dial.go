package replay

import (
	"errors"
	"net"
)

// refusedConnection reports whether a request failed before a connection was made.
func refusedConnection(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}
