package ctl

import (
	"fmt"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

// diffCommand compares two catalogue files and reports whether daemons that hold the old one would reject the new one.
type diffCommand struct {
	Old  string `arg:"positional,required" placeholder:"OLD" help:"catalogue in force"`
	New  string `arg:"positional,required" placeholder:"NEW" help:"proposed catalogue"`
	JSON bool   `arg:"--json" help:"write the result as JSON"`
}

// diffResult is the JSON output of the diff command.
type diffResult struct {
	Equal    bool                   `json:"equal"`
	Accepted bool                   `json:"accepted"`
	Reason   catalogue.AcceptReason `json:"reason,omitempty"`
	Changes  []catalogue.Change     `json:"changes"`
	Errors   []*fileErrors          `json:"errors,omitempty"`
}

func (c *diffCommand) run(out output) int {
	old, oldErrs := loadCatalogue(c.Old)
	new, newErrs := loadCatalogue(c.New)
	if oldErrs != nil || newErrs != nil {
		c.reportErrors(out, oldErrs, newErrs)
		return ExitBadInput
	}
	result := compare(old, new)
	if c.JSON {
		out.json(result)
	} else {
		result.print(out)
	}
	if result.Equal {
		return ExitOK
	}
	return ExitFinding
}

func (c *diffCommand) reportErrors(out output, files ...*fileErrors) {
	result := diffResult{Changes: []catalogue.Change{}}
	for _, fileErrs := range files {
		if fileErrs != nil {
			fileErrs.print(out.stderr)
			result.Errors = append(result.Errors, fileErrs)
		}
	}
	if c.JSON {
		out.json(result)
	}
}

func compare(old, new *catalogue.Catalogue) diffResult {
	accepted, reason := catalogue.Accept(old, new)
	changes := catalogue.Diff(old, new)
	if changes == nil {
		changes = []catalogue.Change{}
	}
	return diffResult{Equal: len(changes) == 0, Accepted: accepted, Reason: reason, Changes: changes}
}

func (r diffResult) print(out output) {
	for _, change := range r.Changes {
		fmt.Fprintln(out.stdout, change)
	}
	if !r.Equal && !r.Accepted {
		fmt.Fprintf(out.stdout, "not accepted by daemons that hold OLD: %s\n", r.Reason)
	}
}
