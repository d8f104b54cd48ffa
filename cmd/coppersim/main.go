// The trial program: proof only. `sweep` runs the simulator over many seeds,
// `fleet` runs real processes, `capacity` measures simulated fleets. Daemons start
// no process; this one does.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("coppersim", "Proves coppercourse under failure: a seeded simulator and a fleet of real processes.")
	app.HelpFlag.Short('h')
	runs := map[string]func() error{}
	sweep(app, runs)
	fleet(app, runs)
	measureCapacity(app, runs)
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := runs[name](); err != nil {
		fmt.Fprintln(os.Stderr, "coppersim: "+strings.ReplaceAll(err.Error(), "\n", "\ncoppersim: "))
		os.Exit(1)
	}
}
