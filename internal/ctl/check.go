package ctl

import (
	"fmt"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

// checkCommand validates a catalogue file in the same way as the daemons.
type checkCommand struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"catalogue to check"`
	JSON bool   `arg:"--json" help:"write the result as JSON"`
}

// checkResult is the JSON output of the check command.
type checkResult struct {
	Valid     bool                   `json:"valid"`
	File      string                 `json:"file"`
	Revision  uint64                 `json:"revision,omitempty"`
	Digest    string                 `json:"digest,omitempty"`
	Customers int                    `json:"customers"`
	Pools     int                    `json:"pools"`
	Targets   int                    `json:"targets"`
	Errors    []catalogue.FieldError `json:"errors,omitempty"`
}

func (c *checkCommand) run(out output) int {
	parsed, fileErrs := loadCatalogue(c.File)
	if fileErrs != nil {
		c.reportErrors(out, fileErrs)
		return ExitBadInput
	}
	result := summary(c.File, parsed)
	if c.JSON {
		out.json(result)
		return ExitOK
	}
	fmt.Fprintf(out.stdout, "%s: valid, revision %d, digest %s, %d customers, %d pools, %d targets\n",
		c.File, result.Revision, result.Digest, result.Customers, result.Pools, result.Targets)
	return ExitOK
}

func (c *checkCommand) reportErrors(out output, fileErrs *fileErrors) {
	fileErrs.print(out.stderr)
	if c.JSON {
		out.json(checkResult{File: c.File, Errors: fileErrs.Errors})
	}
}

func summary(file string, c *catalogue.Catalogue) checkResult {
	result := checkResult{
		Valid:     true,
		File:      file,
		Revision:  c.Revision,
		Digest:    fmt.Sprintf("%016x", c.Digest()),
		Customers: len(c.Customers),
		Pools:     len(c.Pools),
	}
	for i := range c.Pools {
		result.Targets += len(c.Pools[i].Targets)
	}
	return result
}
