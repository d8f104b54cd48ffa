// The coppercourse program: one binary, the role is a subcommand. This file is
// the command line; daemons.go starts the daemons, verbs.go asks a gateway.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// version is set when the program is built for release.
var version = "0.1.0"

func main() {
	app := kingpin.New("coppercourse", "A cluster scheduler for jobs that keeps working when a zone is cut off.")
	app.Version(version).HelpFlag.Short('h')
	app.UsageTemplate(kingpin.CompactUsageTemplate)
	runs := map[string]func() error{}
	daemons(app, runs)
	deployed(app, runs)
	verbs(app, runs)
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := runs[name](); err != nil {
		for _, line := range strings.Split(err.Error(), "\n") {
			fmt.Fprintln(os.Stderr, "coppercourse: "+line)
		}
		os.Exit(1)
	}
}
