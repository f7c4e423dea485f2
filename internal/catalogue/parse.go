package catalogue

import (
	"unicode/utf8"
)

// MaxDocumentBytes is the size limit of a value in the configuration service.
const MaxDocumentBytes = 1 << 20

// Parse decodes and validates a document. Every error is a FieldErrors.
//
// It takes a fraction of a second for the largest document, so daemons call it outside the control goroutine.
func Parse(document []byte) (*Catalogue, error) {
	if len(document) > MaxDocumentBytes {
		return nil, documentError(0, "has %d bytes, at most %d are allowed", len(document), MaxDocumentBytes)
	}
	if !utf8.Valid(document) {
		return nil, documentError(0, "is not UTF-8 text")
	}
	body, errs := parseYAML(document)
	if len(errs) > 0 {
		return nil, errs
	}
	c, errs := decodeYAML(body)
	if c != nil {
		errs = mergeErrors(errs, c.validate())
	}
	if len(errs) > 0 {
		return nil, addLines(errs, body)
	}
	c.finalize()
	return c, nil
}

// mergeErrors adds the validation errors to the decoding errors. A field that could not be decoded holds its default,
// so its validation errors are omitted.
func mergeErrors(decoding, validation FieldErrors) FieldErrors {
	undecoded := make(map[string]bool, len(decoding))
	for _, err := range decoding {
		undecoded[err.Path] = true
	}
	for _, err := range validation {
		if !undecoded[err.Path] {
			decoding = append(decoding, err)
		}
	}
	return decoding
}

// finalize puts a valid catalogue into canonical order and computes its lookup tables and digests.
func (c *Catalogue) finalize() {
	c.sort()
	c.index()
	c.encode()
}
