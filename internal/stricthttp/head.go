package stricthttp

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// codeLength is the number of digits of a status.
	codeLength = 3
	// maxStatus is the highest status in the classes that HTTP defines.
	maxStatus = 599
	// maxQuoted bounds the bytes of an invalid line that its error quotes.
	maxQuoted = 80
)

// SyntaxError reports a line of a response head that is not valid.
type SyntaxError struct {
	Reason string
	// Line is the beginning of the invalid line.
	Line string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("malformed response: %s: %q", e.Reason, e.Line)
}

func syntaxError(reason string, line []byte) error {
	return &SyntaxError{Reason: reason, Line: string(line[:min(len(line), maxQuoted)])}
}

// headChecker checks response heads as they arrive.
type headChecker struct {
	// pending is set until the head of a response that is not an interim one has ended.
	pending bool
	// status is the status of the current head; 0 before its status line. http10 is set if its version is HTTP/1.0.
	status int
	http10 bool
	// line is the beginning of a line whose end has not arrived.
	line []byte
}

// check checks data that has arrived. It returns the length of the valid part, and an error if there is an invalid line,
// whose end is not within that part.
func (h *headChecker) check(data []byte) (int, error) {
	start := 0
	for h.pending {
		length := bytes.IndexByte(data[start:], '\n')
		if length < 0 {
			h.line = append(h.line, data[start:]...)
			break
		}
		line := data[start : start+length]
		if len(h.line) > 0 {
			h.line = append(h.line, line...)
			line = h.line
		}
		if err := h.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return start + length, err
		}
		h.line = nil
		start += length + 1
	}
	return len(data), nil
}

// checkLine checks a line without its end.
func (h *headChecker) checkLine(line []byte) error {
	switch {
	case h.status == 0:
		return h.checkStatusLine(line)
	case len(line) == 0:
		h.pending = h.interim()
		h.status = 0
		return nil
	default:
		return h.checkField(line)
	}
}

func (h *headChecker) interim() bool { return h.status < http.StatusOK }

// checkField checks the name of a field, and the fields that frame the body. The syntax of values is left to net/http.
func (h *headChecker) checkField(line []byte) error {
	name, value, found := strings.Cut(string(line), ":")
	// A line that begins with a blank is invalid too: it would continue the one before it, which HTTP/1.1 no longer allows.
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return syntaxError("invalid field name", line)
	}
	hasLength := strings.EqualFold(name, "Content-Length") && strings.TrimSpace(value) != "0"
	hasCoding := strings.EqualFold(name, "Transfer-Encoding")
	switch {
	case h.interim() && (hasLength || hasCoding):
		return syntaxError("interim response with a body", line)
	case h.http10 && hasCoding:
		// net/http ignores the coding and returns the encoded body.
		return syntaxError("transfer coding in HTTP/1.0", line)
	}
	return nil
}

// checkStatusLine checks a status line, which begins a head.
func (h *headChecker) checkStatusLine(line []byte) error {
	version, rest, _ := strings.Cut(string(line), " ")
	code, _, _ := strings.Cut(rest, " ")
	major, minor, ok := http.ParseHTTPVersion(version)
	if !ok || major != 1 {
		return syntaxError("invalid status line", line)
	}
	status, err := strconv.ParseUint(code, 10, 16)
	// No client of this package asks for another protocol.
	interim := status/100 == 1 && status != http.StatusSwitchingProtocols
	if err != nil || len(code) != codeLength || !interim && !ValidStatus(int(status)) {
		return syntaxError("invalid status", line)
	}
	h.status, h.http10 = int(status), minor == 0
	return nil
}

// ValidStatus reports whether a status is one of a response that is not an interim one.
func ValidStatus(status int) bool { return http.StatusOK <= status && status <= maxStatus }
