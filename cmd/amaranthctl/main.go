// Command amaranthctl checks and compares catalogues, and shows the state of daemons.
package main

import (
	"os"

	"github.com/amaranthlb/amaranthlb/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr))
}
