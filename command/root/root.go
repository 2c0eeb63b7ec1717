// Package root assembles the commands into the command line.
package root

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/posener/complete"
	"github.com/willabides/kongplete"

	"wasabirelay/command/completion"
	"wasabirelay/command/factory"
	hostlist "wasabirelay/command/host/list"
	"wasabirelay/command/inventory/apply"
	"wasabirelay/command/inventory/check"
	inventoryshow "wasabirelay/command/inventory/show"
	movelist "wasabirelay/command/move/list"
	"wasabirelay/command/move/revert"
	moveshow "wasabirelay/command/move/show"
	"wasabirelay/command/move/watch"
	"wasabirelay/command/query"
	routingcheck "wasabirelay/command/routing/check"
	rulelist "wasabirelay/command/rule/list"
	"wasabirelay/command/rule/set"
	"wasabirelay/command/rule/unset"
	"wasabirelay/command/status"
	targetlist "wasabirelay/command/target/list"
	"wasabirelay/command/version"
)

// Command is the command line. Its fields are the global flags and the commands.
type Command struct {
	Operator []netip.AddrPort `help:"Operator addresses of hosts, separated by commas." env:"WASABIRELAY_OPERATOR" placeholder:"ADDRESS"`
	Hosts    []netip.AddrPort `help:"Caller addresses of hosts, separated by commas." env:"WASABIRELAY_HOSTS" placeholder:"ADDRESS"`

	TLS     bool   `name:"tls" help:"Connect to hosts with TLS; implied by the certificate flags." env:"WASABIRELAY_TLS"`
	CA      string `name:"ca" help:"PEM file of the CA that host certificates are verified against." env:"WASABIRELAY_CA" placeholder:"FILE"`
	Cert    string `help:"PEM file of this client's certificate." env:"WASABIRELAY_CERT" placeholder:"FILE"`
	CertKey string `help:"PEM file of the key of this client's certificate." env:"WASABIRELAY_CERT_KEY" placeholder:"FILE"`

	Inventory struct {
		Apply apply.Options         `cmd:"" help:"Replace the inventory with a document."`
		Show  inventoryshow.Options `cmd:"" help:"Show the inventory in force."`
		Check check.Options         `cmd:"" help:"Check a document without applying it."`
	} `cmd:"" help:"Manage the inventory: data centres, hosts, services and rules."`
	Rule struct {
		List  rulelist.Options `cmd:"" help:"List the rules in force."`
		Set   set.Options      `cmd:"" help:"Change one rule."`
		Unset unset.Options    `cmd:"" help:"Remove one rule, so that its default applies."`
	} `cmd:"" help:"Manage single rules of the inventory."`
	Routing struct {
		Check routingcheck.Options `cmd:"" help:"Check a routing document before it is sent."`
	} `cmd:"" help:"Manage routing documents."`
	Move struct {
		List   movelist.Options `cmd:"" help:"List the version moves."`
		Show   moveshow.Options `cmd:"" help:"Show the move of a service."`
		Watch  watch.Options    `cmd:"" help:"Watch the move of a service until it ends."`
		Revert revert.Options   `cmd:"" help:"Revert the move of a service."`
	} `cmd:"" help:"Manage version moves."`
	Host struct {
		List hostlist.Options `cmd:"" help:"List the entry hosts."`
	} `cmd:"" help:"View entry hosts."`
	Target struct {
		List targetlist.Options `cmd:"" help:"List the live targets."`
	} `cmd:"" help:"View targets."`
	Query      query.Options      `cmd:"" help:"Send a query and print its answer."`
	Status     status.Options     `cmd:"" help:"Show the state of a host."`
	Version    version.Options    `cmd:"" help:"Show the version of the program."`
	Completion completion.Options `cmd:"" help:"Print a completion script for a shell."`
}

// New returns the command line with all commands.
func New(f *factory.Factory) *Command {
	c := &Command{}
	c.Inventory.Apply, c.Inventory.Show, c.Inventory.Check = apply.New(f), inventoryshow.New(f), check.New(f)
	c.Routing.Check = routingcheck.New(f)
	c.Rule.List, c.Rule.Set, c.Rule.Unset = rulelist.New(f), set.New(f), unset.New(f)
	c.Move.List, c.Move.Show = movelist.New(f), moveshow.New(f)
	c.Move.Watch, c.Move.Revert = watch.New(f), revert.New(f)
	c.Host.List, c.Target.List = hostlist.New(f), targetlist.New(f)
	c.Query, c.Status, c.Version, c.Completion = query.New(f), status.New(f), version.New(f), completion.New(f)
	return c
}

// exitCode is the panic value that ends parsing early, for example after the help is printed.
type exitCode int

// Run parses the arguments, runs the command and returns the exit code.
func Run(ctx context.Context, f *factory.Factory, addresses *factory.Addresses, args []string) (code int) {
	defer func() {
		switch e := recover().(type) {
		case nil:
		case exitCode:
			code = int(e)
		default:
			panic(e)
		}
	}()
	c := New(f)
	parser, err := kong.New(c, kong.Name("wasabirelay"), kong.Writers(f.Out, f.Err),
		kong.Description("Command line for operators and callers of wasabirelay.\n\n"+factory.ExitCodes),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(code int) { panic(exitCode(code)) }), kong.BindTo(ctx, (*context.Context)(nil)))
	if err != nil {
		return report(f.Err, errors.Wrap(err, "build the command line parser"))
	}
	kongplete.Complete(parser, kongplete.WithPredictor("file", complete.PredictFiles("*")))
	parsed, err := parser.Parse(args)
	if err != nil {
		return report(f.Err, usageError(err))
	}
	*addresses = factory.Addresses{Operator: c.Operator, Hosts: c.Hosts, TLS: factory.TLS{
		Enabled: c.TLS, Authority: c.CA, Certificate: c.Cert, Key: c.CertKey,
	}}
	return report(f.Err, parsed.Run())
}

// usageError turns an error of the parser into an Error that points to the help.
func usageError(err error) error {
	e := &factory.Error{Code: factory.Usage, Text: err.Error(), Next: "see 'wasabirelay --help'"}
	var parseErr *kong.ParseError
	if errors.As(err, &parseErr) && parseErr.Context != nil && parseErr.Context.Command() != "" {
		e.Next = "see 'wasabirelay " + parseErr.Context.Command() + " --help'"
	}
	return e
}

// report prints an error with its suggestion and returns its exit code.
func report(w io.Writer, err error) int {
	if err == nil {
		return factory.OK
	}
	fmt.Fprintln(w, "error: "+err.Error())
	var e *factory.Error
	if !errors.As(err, &e) {
		return factory.Failed
	}
	if e.Next != "" {
		fmt.Fprintln(w, "next: "+e.Next)
	}
	return e.Code
}
