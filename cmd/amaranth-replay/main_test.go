package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"amaranth-replay": func() { os.Exit(run()) }})
}

// Guards against wrong exit codes and unclear error messages, which scripts and CI rely on.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}
