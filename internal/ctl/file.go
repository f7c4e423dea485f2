package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

// fileErrors holds the errors found in one file.
type fileErrors struct {
	File   string                 `json:"file"`
	Errors []catalogue.FieldError `json:"errors"`
}

// loadCatalogue reads and parses a catalogue file. It returns the errors if the file is invalid.
func loadCatalogue(name string) (*catalogue.Catalogue, *fileErrors) {
	document, err := readFile(name)
	if err != nil {
		return nil, &fileErrors{name, []catalogue.FieldError{{Path: "file", Message: err.Error()}}}
	}
	parsed, err := catalogue.Parse(document)
	if err == nil {
		return parsed, nil
	}
	var fields catalogue.FieldErrors
	if !errors.As(err, &fields) {
		fields = catalogue.FieldErrors{{Path: "document", Message: err.Error()}}
	}
	return nil, &fileErrors{name, fields}
}

// readFile reads up to one byte more than the size limit of a catalogue, so that Parse rejects larger files.
func readFile(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, stripPath(err)
	}
	defer file.Close()
	document, err := io.ReadAll(io.LimitReader(file, catalogue.MaxDocumentBytes+1))
	return document, stripPath(err)
}

// stripPath removes the file name from an error, since every message starts with it.
func stripPath(err error) error {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}

// print writes one line per invalid field.
func (e *fileErrors) print(w io.Writer) {
	for _, field := range e.Errors {
		fmt.Fprintf(w, "%s: %s\n", e.File, field.Error())
	}
}
