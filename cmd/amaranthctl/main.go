// Command amaranthctl checks and compares catalogues, shows the state of daemons and traces requests.
package main

import (
	"os"

	"github.com/amaranthlb/amaranthlb/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr))
}
