package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/apierror"
	"coppercourse/internal/commandline"
	"coppercourse/internal/membership"
	"coppercourse/internal/settings"
)

// roleHelp holds the help texts of the daemon roles.
var roleHelp = map[membership.Role]string{
	membership.RoleController: "Run a controller: it replicates the state and, as leader, schedules. Needs a disk.",
	membership.RoleGateway:    "Run a gateway: the entry point for callers and operators. Keeps nothing on disk.",
	membership.RoleAgent:      "Run the agent of a worker: it starts and stops its tasks. Keeps nothing on disk.",
}

// addDaemons registers a command for each role.
func addDaemons(app *kingpin.Application, commands commandline.Commands) {
	for _, role := range []membership.Role{membership.RoleController, membership.RoleGateway, membership.RoleAgent} {
		flags := &daemonFlags{}
		flags.addTo(app.Command(string(role), roleHelp[role]), role)
		commands[string(role)] = func() error { return flags.run(role) }
	}
}

// daemonFlags are the command-line flags of a daemon. Flags override the settings file.
type daemonFlags struct {
	settingsFile string
	listen       string
	address      string
	source       string
	zone         string
	seeds        []string
	dataDir      string
	shard        string
	logLevel     string
	check        bool
}

func (f *daemonFlags) addTo(command *kingpin.CmdClause, role membership.Role) {
	command.Flag("settings", "Settings file (JSON); flags override it.").
		PlaceHolder("FILE").StringVar(&f.settingsFile)
	command.Flag("listen", "Address to listen on. Default 127.0.0.1:7400.").
		PlaceHolder("IP:PORT").StringVar(&f.listen)
	command.Flag("address", "Address by which other daemons reach this one. Default: --listen.").
		PlaceHolder("IP:PORT").StringVar(&f.address)
	command.Flag("source", "Local address of outgoing connections. Default: the system's choice.").
		PlaceHolder("IP").StringVar(&f.source)
	command.Flag("locality", "Zone of this daemon.").
		PlaceHolder("ZONE").StringVar(&f.zone)
	command.Flag("seed", "Address of any other daemon, to discover the cluster; may be repeated up to three times.").
		PlaceHolder("IP:PORT").StringsVar(&f.seeds)
	command.Flag("log", "Level of the log: info or debug. Default info.").
		PlaceHolder("LEVEL").StringVar(&f.logLevel)
	command.Flag("check", "Check the settings and exit.").BoolVar(&f.check)
	switch role {
	case membership.RoleController:
		command.Flag("data", "Folder of the write-ahead log, empty at the first start.").
			PlaceHolder("FOLDER").StringVar(&f.dataDir)
	case membership.RoleAgent:
		command.Flag("shard", "Name of the worker that this agent manages.").
			PlaceHolder("NAME").StringVar(&f.shard)
	}
}

// run runs a daemon, or with --check only validates its settings.
func (f *daemonFlags) run(role membership.Role) error {
	s, err := f.settings(role)
	if err != nil {
		return err
	}
	if f.check {
		fmt.Println("the settings are valid")
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return newDaemon(role, s).run(ctx, role)
}

// settings returns the settings of a daemon: the defaults, overridden by the settings file,
// overridden by the flags.
func (f *daemonFlags) settings(role membership.Role) (settings.Settings, error) {
	s, errs := settings.Defaults(), &apierror.ErrorList{}
	if f.settingsFile != "" {
		document, err := os.ReadFile(f.settingsFile)
		if err != nil {
			return s, apierror.Wrap(apierror.BadSetting, err, "read the settings file")
		}
		settings.Read(document, &s, errs)
	}
	f.override(&s)
	s.Validate(role, errs)
	return s, errs.Err()
}

func (f *daemonFlags) override(s *settings.Settings) {
	for _, flag := range []struct {
		value   string
		setting *string
	}{
		{f.listen, &s.Listen},
		{f.address, &s.Address},
		{f.source, &s.Source},
		{f.zone, &s.Zone},
		{f.dataDir, &s.Data},
		{f.shard, &s.Shard},
		{f.logLevel, &s.Log},
	} {
		if flag.value != "" {
			*flag.setting = flag.value
		}
	}
	if f.seeds != nil {
		s.Seeds = f.seeds
	}
}
