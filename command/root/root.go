// Package root is the command line as a whole.
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
	rulelist "wasabirelay/command/rule/list"
	"wasabirelay/command/rule/set"
	"wasabirelay/command/rule/unset"
	"wasabirelay/command/status"
	targetlist "wasabirelay/command/target/list"
	"wasabirelay/command/version"
)

// Command is the command line. Its fields are the global flags and the commands.
type Command struct {
	Operator []netip.AddrPort `help:"Operator addresses of hosts." env:"WASABIRELAY_OPERATOR" placeholder:"ADDRESS"`
	Hosts    []netip.AddrPort `help:"Caller addresses of hosts." env:"WASABIRELAY_HOSTS" placeholder:"ADDRESS"`

	TLS     bool   `name:"tls" help:"Use TLS." env:"WASABIRELAY_TLS"`
	CA      string `name:"ca" help:"CA that hosts are checked against, a PEM file." env:"WASABIRELAY_CA" placeholder:"FILE"`
	Cert    string `help:"Certificate of this client, a PEM file." env:"WASABIRELAY_CERT" placeholder:"FILE"`
	CertKey string `help:"Key of this client's certificate, a PEM file." env:"WASABIRELAY_CERT_KEY" placeholder:"FILE"`

	Inventory struct {
		Apply apply.Options         `cmd:"" help:"Replace the inventory with a document."`
		Show  inventoryshow.Options `cmd:"" help:"Show the inventory in force."`
		Check check.Options         `cmd:"" help:"Check a document without applying it."`
	} `cmd:"" help:"Work with the inventory: data centres, hosts, services and rules."`
	Rule struct {
		List  rulelist.Options `cmd:"" help:"List the rules in force."`
		Set   set.Options      `cmd:"" help:"Change one rule."`
		Unset unset.Options    `cmd:"" help:"Remove one rule, so that its default applies."`
	} `cmd:"" help:"Work with single rules of the inventory."`
	Move struct {
		List   movelist.Options `cmd:"" help:"List the version moves."`
		Show   moveshow.Options `cmd:"" help:"Show the move of a service."`
		Watch  watch.Options    `cmd:"" help:"Follow the move of a service until it ends."`
		Revert revert.Options   `cmd:"" help:"Revert the move of a service."`
	} `cmd:"" help:"Work with version moves."`
	Host struct {
		List hostlist.Options `cmd:"" help:"List the entry hosts."`
	} `cmd:"" help:"Work with entry hosts."`
	Target struct {
		List targetlist.Options `cmd:"" help:"List the live targets."`
	} `cmd:"" help:"Work with targets."`
	Query      query.Options      `cmd:"" help:"Send a query and print its answer."`
	Status     status.Options     `cmd:"" help:"Show the state of a host."`
	Version    version.Options    `cmd:"" help:"Show the version of the program."`
	Completion completion.Options `cmd:"" help:"Print the completion script of a shell."`
}

// New returns the command line with its commands.
func New(f *factory.Factory) *Command {
	c := &Command{}
	c.Inventory.Apply, c.Inventory.Show, c.Inventory.Check = apply.New(f), inventoryshow.New(f), check.New(f)
	c.Rule.List, c.Rule.Set, c.Rule.Unset = rulelist.New(f), set.New(f), unset.New(f)
	c.Move.List, c.Move.Show = movelist.New(f), moveshow.New(f)
	c.Move.Watch, c.Move.Revert = watch.New(f), revert.New(f)
	c.Host.List, c.Target.List = hostlist.New(f), targetlist.New(f)
	c.Query, c.Status, c.Version, c.Completion = query.New(f), status.New(f), version.New(f), completion.New(f)
	return c
}

// exit ends the parser from within, for example after it has printed the help.
type exit int

// Run parses the arguments, runs the command and returns the exit code.
func Run(ctx context.Context, f *factory.Factory, addresses *factory.Addresses, args []string) (code int) {
	defer func() {
		switch e := recover().(type) {
		case nil:
		case exit:
			code = int(e)
		default:
			panic(e)
		}
	}()
	c := New(f)
	parser, err := kong.New(c, kong.Name("wasabirelay"), kong.Writers(f.Out, f.Err),
		kong.Description("Command line for operators and callers of wasabirelay.\n\n"+factory.Codes),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Exit(func(code int) { panic(exit(code)) }), kong.BindTo(ctx, (*context.Context)(nil)))
	if err != nil {
		return report(f.Err, errors.Wrap(err, "command line"))
	}
	kongplete.Complete(parser, kongplete.WithPredictor("file", complete.PredictFiles("*")))
	k, err := parser.Parse(args)
	if err != nil {
		return report(f.Err, usage(err))
	}
	*addresses = factory.Addresses{Operator: c.Operator, Hosts: c.Hosts, TLS: factory.TLS{
		On: c.TLS, Authority: c.CA, Certificate: c.Cert, Key: c.CertKey,
	}}
	return report(f.Err, k.Run())
}

func usage(err error) error {
	e := &factory.Error{Code: factory.Usage, Text: err.Error(), Next: "see 'wasabirelay --help'"}
	var parse *kong.ParseError
	if errors.As(err, &parse) && parse.Context != nil && parse.Context.Command() != "" {
		e.Next = "see 'wasabirelay " + parse.Context.Command() + " --help'"
	}
	return e
}

// report prints an error and returns its exit code.
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
