package catalogue

import (
	"fmt"
	"strings"
)

// FieldError describes one invalid field of a document.
type FieldError struct {
	// Path is the field, such as pools[0].targets[2].address; "document" stands for the document as a whole.
	Path string `json:"path"`
	// Line is the line of the document, 0 if it is not known.
	Line int `json:"line,omitempty"`
	// Message describes the error and the allowed values.
	Message string `json:"message"`
}

func (e FieldError) Error() string {
	if e.Line == 0 {
		return e.Path + ": " + e.Message
	}
	return fmt.Sprintf("%s (line %d): %s", e.Path, e.Line, e.Message)
}

// FieldErrors lists all invalid fields of a document.
type FieldErrors []FieldError

func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, field := range e {
		lines[i] = field.Error()
	}
	return strings.Join(lines, "\n")
}

// documentPath is the path of errors that don't belong to a single field.
const documentPath = "document"

func documentError(line int, format string, args ...any) FieldErrors {
	return FieldErrors{{Path: documentPath, Line: line, Message: fmt.Sprintf(format, args...)}}
}
