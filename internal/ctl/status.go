package ctl

import (
	"fmt"
	"sync"
	"text/tabwriter"
)

// statusCommand shows the state of daemons as reported by their admin endpoints.
type statusCommand struct {
	Admin []string `arg:"--admin,required" placeholder:"ADDRESS" help:"admin addresses of the daemons"`
	JSON  bool     `arg:"--json" help:"write the result as JSON"`
}

// statusResult is the JSON output of the status command.
type statusResult struct {
	// Agreed is true if every daemon responded and all hold the same catalogue revision.
	Agreed  bool           `json:"agreed"`
	Daemons []daemonStatus `json:"daemons"`
}

// daemonStatus is the state of one daemon.
type daemonStatus struct {
	Admin      string         `json:"admin"`
	Error      string         `json:"error,omitempty"`
	Name       string         `json:"name,omitempty"`
	Zone       string         `json:"zone,omitempty"`
	Revision   uint64         `json:"revision"`
	ViewDigest string         `json:"view_digest,omitempty"`
	Draining   bool           `json:"draining"`
	Tickets    int            `json:"tickets"`
	Targets    []targetStatus `json:"targets,omitempty"`
}

// targetStatus is the state of a target that the daemon owns.
type targetStatus struct {
	Target  string `json:"target"`
	Pool    string `json:"pool"`
	Load    int    `json:"load"`
	Limit   int    `json:"limit"`
	Waiting int    `json:"waiting"`
}

// statusReply is a daemon's response at /status. Entries omit the fields for targets and tickets.
type statusReply struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Draining bool   `json:"draining"`
	Revision uint64 `json:"catalogue_revision"`
	View     struct{ Digest uint64 }
	// Admission holds the targets of a gate. Bound is the limit after the restrictions for a new or contested owner.
	Admission struct {
		Targets []struct {
			Target, Pool             string
			InFlight, Waiting, Bound int
			Lost                     bool
		}
	}
	OpenTickets int `json:"open_tickets"`
}

func (c *statusCommand) run(out output) int {
	if err := checkAddresses(c.Admin...); err != nil {
		fmt.Fprintln(out.stderr, "error:", err)
		return ExitBadInput
	}
	result := statusResult{Daemons: make([]daemonStatus, len(c.Admin))}
	var readers sync.WaitGroup
	for i, address := range c.Admin {
		readers.Go(func() { result.Daemons[i] = readStatus(address) })
	}
	readers.Wait()
	result.Agreed = sameRevision(result.Daemons)
	if c.JSON {
		out.json(result)
	} else {
		result.print(out)
	}
	if result.Agreed {
		return ExitOK
	}
	return ExitFinding
}

func readStatus(address string) daemonStatus {
	var reply statusReply
	if err := getAdmin(address, "/status", &reply); err != nil {
		return daemonStatus{Admin: address, Error: err.Error()}
	}
	status := daemonStatus{
		Admin:    address,
		Name:     reply.Name,
		Zone:     reply.Zone,
		Revision: reply.Revision,
		Draining: reply.Draining,
		Tickets:  reply.OpenTickets,
	}
	if reply.View.Digest != 0 {
		status.ViewDigest = fmt.Sprintf("%016x", reply.View.Digest)
	}
	for _, t := range reply.Admission.Targets {
		if !t.Lost {
			status.Targets = append(status.Targets, targetStatus{t.Target, t.Pool, t.InFlight, t.Bound, t.Waiting})
		}
	}
	return status
}

func sameRevision(daemons []daemonStatus) bool {
	for _, daemon := range daemons {
		if daemon.Error != "" || daemon.Revision != daemons[0].Revision {
			return false
		}
	}
	return true
}

func (r statusResult) print(out output) {
	table := tabwriter.NewWriter(out.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DAEMON\tZONE\tREVISION\tVIEW\tTARGETS\tTICKETS\tDRAINING")
	for _, d := range r.Daemons {
		if d.Error != "" {
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%d\t%v\n", d.Name, d.Zone, d.Revision, valueOrDash(d.ViewDigest), len(d.Targets), d.Tickets, d.Draining)
	}
	_ = table.Flush()
	r.printTargets(out)
	for _, d := range r.Daemons {
		if d.Error != "" {
			fmt.Fprintln(out.stderr, "error:", d.Error)
		}
	}
	if !r.Agreed {
		fmt.Fprintln(out.stdout, "\nnot every daemon answered with the same catalogue revision")
	}
}

func (r statusResult) printTargets(out output) {
	table := tabwriter.NewWriter(out.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nTARGET\tPOOL\tOWNER\tLOAD\tLIMIT\tWAITING")
	for _, d := range r.Daemons {
		for _, t := range d.Targets {
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\n", t.Target, t.Pool, d.Name, t.Load, t.Limit, t.Waiting)
		}
	}
	_ = table.Flush()
}

func valueOrDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
