// Package ctl implements the commands of amaranthctl.
//
// Each command writes its result to standard output, as text or JSON, and errors to standard error.
package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit codes of all commands.
const (
	// ExitOK means that there is nothing to report.
	ExitOK = 0
	// ExitFinding means that the command ran and has a finding, such as a difference or a daemon that does not respond.
	ExitFinding = 1
	// ExitBadInput means that the arguments or an input file are invalid.
	ExitBadInput = 2
)

// program is the command name in help texts.
const program = "amaranthctl"

// arguments holds one field per subcommand; the parser sets the selected one.
type arguments struct {
	Check   *checkCommand   `arg:"subcommand:check" help:"check a catalogue"`
	Diff    *diffCommand    `arg:"subcommand:diff" help:"compare two catalogues"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show the state of daemons"`
	Explain *explainCommand `arg:"subcommand:explain" help:"say where an entry would send a request, and why"`
	Trace   *traceCommand   `arg:"subcommand:trace" help:"join what routers logged of one request"`
}

// Description returns the first line of the help text.
func (arguments) Description() string {
	return "Checks and compares catalogues, and shows the state of daemons. Exit codes: 0 good, 1 finding, 2 bad input."
}

// command is implemented by every subcommand.
type command interface {
	run(out output) int
}

// output holds the streams that a command writes to.
type output struct {
	stdout, stderr io.Writer
}

// Run executes the command line, given without the program name, and returns the exit code.
func Run(argv []string, stdout, stderr io.Writer) int {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Program: program, IgnoreEnv: true, Out: stderr}, &args)
	if err != nil {
		panic("ctl: invalid argument definitions: " + err.Error())
	}
	err = parser.Parse(argv)
	switch {
	case errors.Is(err, arg.ErrHelp):
		return help(parser, stdout)
	case err != nil:
		return usage(parser, stderr, err.Error())
	}
	selected, ok := parser.Subcommand().(command)
	if !ok {
		return usage(parser, stderr, "a command is required")
	}
	return selected.run(output{stdout, stderr})
}

func help(parser *arg.Parser, stdout io.Writer) int {
	if err := parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...); err != nil {
		return ExitBadInput
	}
	return ExitOK
}

func usage(parser *arg.Parser, stderr io.Writer, message string) int {
	_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
	fmt.Fprintln(stderr, "error:", message)
	return ExitBadInput
}

// json writes a value as indented JSON.
func (o output) json(value any) {
	encoder := json.NewEncoder(o.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		fmt.Fprintln(o.stderr, "error:", err)
	}
}
