// Package version implements the command "version".
package version

import (
	"context"
	"runtime/debug"

	"wasabirelay/command/factory"
	"wasabirelay/operator"
)

// Options holds the arguments, flags and dependencies of the command.
type Options struct {
	*factory.Factory `kong:"-"`

	Server bool `help:"Also print the version of a host."`
	JSON   bool `help:"Print JSON."`
}

// Versions is what the command prints with --json.
type Versions struct {
	Client string `json:"client"`
	// Server is the version of the host; nil without --server.
	Server *operator.Version `json:"server,omitempty"`
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns the examples that --help prints.
func (o *Options) Help() string {
	return `Examples:
  wasabirelay version
  wasabirelay version --server --json`
}

// Run prints the version of the program and, with --server, that of a host.
func (o *Options) Run(ctx context.Context) error {
	v := Versions{Client: programVersion()}
	if o.Server {
		c, err := o.Operator()
		if err != nil {
			return err
		}
		response, err := c.Version(ctx)
		if err != nil {
			return factory.Explain(err, "")
		}
		v.Server = response
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

// programVersion returns the VCS revision that the program was built from, or else its module
// version, or "unknown" without build information.
func programVersion() string {
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
