package main

import (
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"coppercourse/internal/apierror"
	"coppercourse/internal/commandline"
	"coppercourse/internal/config"
	"coppercourse/internal/types"
)

// tenantCommands implements the commands that show and change the tenants of the current table.
// The values of flags and arguments are set once the command line is parsed.
type tenantCommands struct {
	client *gatewayClient
	in     io.Reader // source of keys unless --file is given
	out    io.Writer
	json   bool // print JSON instead of a table
}

// addTenants registers the commands that show and change tenants.
func addTenants(app *kingpin.Application, client *gatewayClient, commands commandline.Commands) {
	tc := &tenantCommands{client: client, in: os.Stdin, out: os.Stdout}
	tc.add(app, commands)
}

func (tc *tenantCommands) add(app *kingpin.Application, commands commandline.Commands) {
	tenant := app.Command("tenant", "Show or change the tenants of the table in force, their limits and keys.")
	tc.addJSON(tenant.Command("list", "List the tenants."))
	commands["tenant list"] = tc.list

	show := tc.addJSON(tenant.Command("show", "Show a tenant and the hashes of its keys."))
	shown := show.Arg("name", "Name of the tenant.").Required().String()
	commands["tenant show"] = func() error { return tc.show(types.TenantName(*shown)) }

	tc.addSet(tenant, commands)
	key := tenant.Command("key", "Add a key to a tenant, or remove one. Keys are never passed as arguments.")
	tc.addKeyAdd(key, commands)
	tc.addKeyRemove(key, commands)
}

// addJSON adds the flag --json to command and returns command.
func (tc *tenantCommands) addJSON(command *kingpin.CmdClause) *kingpin.CmdClause {
	command.Flag("json", "Print JSON instead of a table.").BoolVar(&tc.json)
	return command
}

func (tc *tenantCommands) addSet(group *kingpin.CmdClause, commands commandline.Commands) {
	set := &tenantSettings{}
	command := tc.addJSON(group.Command("set", "Change a tenant's weight and limits; a new name adds a tenant."))
	command.Arg("name", "Name of the tenant.").Required().StringVar(&set.name)
	command.Flag("weight", "Jobs per second that it may submit when the cluster is full.").
		IsSetByUser(&set.hasWeight).Float64Var(&set.weight)
	command.Flag("cores", "Cores that its tasks may use, with up to three decimals; 0 for no limit.").
		IsSetByUser(&set.hasCores).StringVar(&set.cores)
	command.Flag("memory", "Megabytes that its tasks may use; 0 for no limit.").
		IsSetByUser(&set.hasMemory).IntVar(&set.memoryMB)
	command.Flag("accelerators", "Accelerators that its tasks may use; 0 for no limit.").
		IsSetByUser(&set.hasAccelerators).IntVar(&set.accelerators)
	commands["tenant set"] = func() error { return tc.update(types.TenantName(set.name), set.apply) }
}

func (tc *tenantCommands) addKeyAdd(group *kingpin.CmdClause, commands commandline.Commands) {
	command := tc.addJSON(group.Command("add", "Add a key, read from the standard input or a file, to a tenant."))
	name := command.Arg("name", "Name of the tenant.").Required().String()
	file := command.Flag("file", "File with the key, instead of the standard input.").PlaceHolder("FILE").String()
	commands["tenant key add"] = func() error {
		hash, err := tc.readKey(*file)
		if err != nil {
			return err
		}
		return tc.update(types.TenantName(*name), addKey(hash))
	}
}

func (tc *tenantCommands) addKeyRemove(group *kingpin.CmdClause, commands commandline.Commands) {
	command := tc.addJSON(group.Command("remove", "Remove a key, read from the standard input or a file."))
	name := command.Arg("name", "Name of the tenant.").Required().String()
	file := command.Flag("file", "File with the key, instead of the standard input.").PlaceHolder("FILE").String()
	prefix := command.Flag("hash", "Prefix of the key's hash, instead of the key.").PlaceHolder("DIGITS").String()
	commands["tenant key remove"] = func() error {
		if *prefix != "" {
			return tc.update(types.TenantName(*name), removeKey(*prefix))
		}
		hash, err := tc.readKey(*file)
		if err != nil {
			return err
		}
		return tc.update(types.TenantName(*name), removeKey(string(hash)))
	}
}

// list prints all tenants of the current table.
func (tc *tenantCommands) list() error {
	table, err := tc.fetchTable()
	if err != nil {
		return err
	}
	return tc.printTenants(table)
}

// show prints one tenant.
func (tc *tenantCommands) show(name types.TenantName) error {
	table, err := tc.fetchTable()
	if err != nil {
		return err
	}
	tenant, ok := table.FindTenant(name)
	if !ok {
		return noSuchTenant(name)
	}
	return tc.printTenant(table.Version, tenant)
}

// readKey reads a key from a file, or from the standard input if file is empty, and returns its
// hash.
func (tc *tenantCommands) readKey(file string) (config.KeyHash, error) {
	in := tc.in
	if file != "" {
		opened, err := os.Open(file)
		if err != nil {
			return "", apierror.Wrap(apierror.BadBody, err, "read the key file")
		}
		defer opened.Close()
		in = opened
	}
	return readKeyLine(in)
}

func noSuchTenant(name types.TenantName) error {
	return apierror.New(apierror.BadField, "name", "unknown tenant "+string(name))
}
