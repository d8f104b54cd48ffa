package main

import (
	"context"
	"fmt"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/commandline"
	"coppercourse/internal/membership"
	"coppercourse/platform"
)

// addPlatform registers the commands that run a daemon on the users' platform or check its
// settings file.
func addPlatform(app *kingpin.Application, commands commandline.Commands) {
	command := app.Command("platform", "Run a daemon from the settings file of the platform, or check such a file.")
	for _, role := range platform.Roles {
		command.Command(string(role), roleHelp[role]+" $"+platform.SettingsFileVariable+" names its settings file.")
		commands["platform "+string(role)] = func() error { return runOnPlatform(role) }
	}
	check := command.Command("check", "Check a settings file of the platform and print the resulting configuration.")
	file := check.Arg("file", "Settings file (YAML).").Required().String()
	commands["platform check"] = func() error { return checkPlatformSettings(*file) }
}

// checkPlatformSettings prints the configuration that results from a settings file.
func checkPlatformSettings(path string) error {
	s, err := platform.LoadFile("", path)
	if err != nil {
		return err
	}
	fmt.Println(strings.Join(s.Describe(), "\n"))
	return nil
}

// runOnPlatform runs a daemon with the settings file named by the platform.
func runOnPlatform(role membership.Role) error {
	signal.Ignore(syscall.SIGHUP) // until WatchFile handles it
	s, path, err := platform.LoadFromEnvironment(role)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	debug.SetGCPercent(gcPercent(s.DaemonRole()))
	debug.SetMemoryLimit(s.MemoryLimit)
	d := newDaemon(role, s.Daemon)
	d.platform = &s
	platform.WatchFile(ctx, d.log, path, s, nil)
	return d.run(ctx, s.DaemonRole())
}
