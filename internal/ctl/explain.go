package ctl

import (
	"errors"
	"fmt"
	"net/url"
	"text/tabwriter"
)

// explainCommand queries an entry for the target that it would choose for a request.
type explainCommand struct {
	Admin    string `arg:"--admin,required" placeholder:"ADDRESS" help:"admin address of the entry"`
	Pool     string `arg:"--pool,required" help:"model or service of the request"`
	Chat     string `arg:"--chat" help:"chat key of the request"`
	Customer string `arg:"--customer" help:"customer of the request"`
	Holder   string `arg:"--holder" placeholder:"TARGET" help:"target that holds the chat's prefix"`
	JSON     bool   `arg:"--json" help:"write the result as JSON"`
}

// explainResult is the response of an entry and the JSON output of the explain command.
type explainResult struct {
	Pool       string             `json:"pool"`
	Revision   uint64             `json:"catalogue_revision"`
	Limit      int                `json:"limit"`
	Choice     string             `json:"choice"`
	Why        string             `json:"why"`
	Candidates []explainCandidate `json:"candidates"`
}

type explainCandidate struct {
	Rank     int    `json:"rank"`
	Target   string `json:"target"`
	Distance string `json:"distance"`
	Load     int    `json:"load"`
	Open     bool   `json:"open"`
	Owner    string `json:"owner"`
	Holder   bool   `json:"holder"`
}

func (c *explainCommand) run(out output) int {
	if err := checkAddresses(c.Admin); err != nil {
		fmt.Fprintln(out.stderr, "error:", err)
		return ExitBadInput
	}
	var result explainResult
	if err := getAdmin(c.Admin, "/explain?"+c.query(), &result); err != nil {
		fmt.Fprintln(out.stderr, "error:", err)
		var bad *badRequestError
		if errors.As(err, &bad) {
			return ExitBadInput
		}
		return ExitFinding
	}
	if c.JSON {
		out.json(result)
	} else {
		result.print(out)
	}
	if result.Choice == "" {
		return ExitFinding
	}
	return ExitOK
}

func (c *explainCommand) query() string {
	query := url.Values{"pool": {c.Pool}}
	query.Set("chat", c.Chat)
	query.Set("customer", c.Customer)
	query.Set("holder", c.Holder)
	return query.Encode()
}

func (r explainResult) print(out output) {
	table := tabwriter.NewWriter(out.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "RANK\tTARGET\tDISTANCE\tLOAD\tLIMIT\tOPEN\tOWNER\tHOLDER")
	for _, c := range r.Candidates {
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%d\t%v\t%s\t%v\n", c.Rank, c.Target, c.Distance, c.Load, r.Limit, c.Open, valueOrDash(c.Owner), c.Holder)
	}
	_ = table.Flush()
	fmt.Fprintf(out.stdout, "\nchoice: %s (%s), catalogue revision %d\n", valueOrDash(r.Choice), r.Why, r.Revision)
}
