package catalogue

import (
	"fmt"
	"strings"
)

// FieldError names one wrong field of a document.
type FieldError struct {
	// Path is the field, such as pools[0].targets[2].address; "document" is the document as a whole.
	Path string `json:"path"`
	// Line is the line of the document, 0 when it is not known.
	Line int `json:"line,omitempty"`
	// Message says what is wrong and what is allowed.
	Message string `json:"message"`
}

func (e FieldError) Error() string {
	if e.Line == 0 {
		return e.Path + ": " + e.Message
	}
	return fmt.Sprintf("%s (line %d): %s", e.Path, e.Line, e.Message)
}

// FieldErrors lists all wrong fields of a document.
type FieldErrors []FieldError

func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, field := range e {
		lines[i] = field.Error()
	}
	return strings.Join(lines, "\n")
}

// documentPath is the path of errors that concern no single field.
const documentPath = "document"

func documentError(line int, format string, args ...any) FieldErrors {
	return FieldErrors{{Path: documentPath, Line: line, Message: fmt.Sprintf(format, args...)}}
}
