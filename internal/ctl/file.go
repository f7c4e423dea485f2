package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

// fileErrors are the errors of one file.
type fileErrors struct {
	File   string                 `json:"file"`
	Errors []catalogue.FieldError `json:"errors"`
}

// load reads and parses a catalogue file, and returns its errors when there are any.
func load(name string) (*catalogue.Catalogue, *fileErrors) {
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

// readFile reads one byte more than a catalogue may have, so that Parse refuses longer files.
func readFile(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, withoutPath(err)
	}
	defer file.Close()
	document, err := io.ReadAll(io.LimitReader(file, catalogue.MaxDocumentBytes+1))
	return document, withoutPath(err)
}

// withoutPath drops the file name, which every message starts with.
func withoutPath(err error) error {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}

// print writes one line per wrong field.
func (e *fileErrors) print(w io.Writer) {
	for _, field := range e.Errors {
		fmt.Fprintf(w, "%s: %s\n", e.File, field.Error())
	}
}
