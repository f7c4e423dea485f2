package ctl_test

import (
	"errors"
	"os"
	"os/exec"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/amaranthlb/amaranthlb/internal/ctl"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"amaranthctl": func() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against wrong exit codes and messages, which operators' scripts depend on.
func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Cmds:                map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

// exits runs a command and checks its exit code: exits CODE COMMAND [ARGUMENT...].
func exits(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND [ARGUMENT...]")
	}
	code := 0
	err := ts.Exec(args[1], args[2:]...)
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		code = failed.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if strconv.Itoa(code) != args[0] {
		ts.Fatalf("exit code is %d, want %s", code, args[0])
	}
}
