// Package version is the command "version".
package version

import (
	"context"
	"runtime/debug"

	"wasabirelay/command/factory"
	"wasabirelay/operator"
)

// Options are the arguments of the command and what it depends on.
type Options struct {
	*factory.Factory `kong:"-"`

	Server bool `help:"Also ask a host for its version."`
	JSON   bool `help:"Print JSON."`
}

// Versions is what the command prints with --json.
type Versions struct {
	Client string `json:"client"`
	// Server is the reply of a host if it was asked.
	Server *operator.Version `json:"server,omitempty"`
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns examples.
func (o *Options) Help() string {
	return `Examples:
  wasabirelay version
  wasabirelay version --server --json`
}

// Run prints the version of the program, and that of a host if asked.
func (o *Options) Run(ctx context.Context) error {
	v := Versions{Client: own()}
	if o.Server {
		c, err := o.Operator()
		if err != nil {
			return err
		}
		got, err := c.Version(ctx)
		if err != nil {
			return factory.Explain(err, "")
		}
		v.Server = got
	}
	if o.JSON {
		return o.Streams.JSON(v)
	}
	rows := [][]string{{"client", v.Client}}
	if o.Server {
		rows = append(rows, []string{v.Server.Host, v.Server.Program})
	}
	return o.Table([]string{"PROGRAM", "VERSION"}, rows)
}

// own returns the revision that the program was built from, if it is known.
func own() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
