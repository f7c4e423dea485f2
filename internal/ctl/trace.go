package ctl

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// traceCommand merges the log lines of several routers about one request and marks the line that decided its outcome.
type traceCommand struct {
	Request string   `arg:"positional,required" placeholder:"ID" help:"id of the request"`
	Files   []string `arg:"positional,required" placeholder:"FILE" help:"log files of the routers"`
	JSON    bool     `arg:"--json" help:"write the result as JSON"`
}

// traceResult is the JSON output of the trace command.
type traceResult struct {
	Request string           `json:"request"`
	Lines   []map[string]any `json:"lines"`
	// Decided is the index of the line that explains the outcome of the request, or -1 if there is none.
	Decided int `json:"decided"`
	// Skipped counts matching lines that are not JSON objects.
	Skipped int `json:"skipped"`
}

func (c *traceCommand) run(out output) int {
	result := traceResult{Request: c.Request, Lines: []map[string]any{}, Decided: -1}
	for _, name := range c.Files {
		if err := result.read(name); err != nil {
			fmt.Fprintf(out.stderr, "%s: %v\n", name, stripPath(err))
			return ExitBadInput
		}
	}
	sort.SliceStable(result.Lines, func(i, j int) bool { return lineTime(result.Lines[i]).Before(lineTime(result.Lines[j])) })
	result.markDecisive()
	if c.JSON {
		out.json(result)
	} else {
		result.print(out)
	}
	if len(result.Lines) == 0 {
		return ExitFinding
	}
	return ExitOK
}

// read collects the lines of a log file that concern the request.
func (r *traceResult) read(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), r.Request) {
			continue
		}
		// Log collectors may put a time stamp or a name in front of the JSON object.
		text := scanner.Text()
		var line map[string]any
		if start := strings.IndexByte(text, '{'); start < 0 || json.Unmarshal([]byte(text[start:]), &line) != nil {
			r.Skipped++
			continue
		}
		if line["request"] == r.Request {
			r.Lines = append(r.Lines, line)
		}
	}
	return scanner.Err()
}

func lineTime(line map[string]any) time.Time {
	text, _ := line["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{} // lines without a valid time sort first
	}
	return at
}

// markDecisive selects the line that decided the outcome: the last one about the request as a whole, or else the last
// attempt.
func (r *traceResult) markDecisive() {
	for i, line := range r.Lines {
		if line["msg"] != "tried" || r.Decided < 0 || r.Lines[r.Decided]["msg"] == "tried" {
			r.Decided = i
		}
	}
}

// traceFields lists the fields that are printed first, in this order. Other fields follow, sorted by name.
var traceFields = []string{"vm", "msg", "outcome", "reason", "target", "error"}

func (r traceResult) print(out output) {
	for i, line := range r.Lines {
		mark := " "
		if i == r.Decided {
			mark = ">"
		}
		var text strings.Builder
		printed := map[string]bool{"time": true, "request": true, "level": true}
		write := func(name string) {
			if value, ok := line[name]; ok && !printed[name] {
				printed[name] = true
				fmt.Fprintf(&text, " %s=%v", name, value)
			}
		}
		for _, name := range traceFields {
			write(name)
		}
		var rest []string
		for name := range line {
			rest = append(rest, name)
		}
		sort.Strings(rest)
		for _, name := range rest {
			write(name)
		}
		fmt.Fprintf(out.stdout, "%s %s%s\n", mark, lineTime(line).Format("15:04:05.000"), text.String())
	}
	if len(r.Lines) == 0 {
		fmt.Fprintf(out.stdout, "no line about %s\n", r.Request)
	}
}
