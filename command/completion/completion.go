// Package completion implements the command "completion".
package completion

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"wasabirelay/command/factory"
)

// Options holds the arguments, flags and dependencies of the command.
type Options struct {
	*factory.Factory `kong:"-"`

	Shell string `arg:"" help:"Shell: ${enum}." enum:"bash,zsh,fish"`
}

// program is the name of the program that the shell completes.
const program = "wasabirelay"

// scripts holds, per shell, the script that makes the shell call the program for completions.
// %[1]s is the name of the program, %[2]s its quoted path.
var scripts = map[string]string{
	"bash": "complete -C %[2]s %[1]s\n",
	"zsh":  "autoload -U +X bashcompinit && bashcompinit\ncomplete -o nospace -C %[2]s %[1]s\n",
	"fish": `function __complete_%[1]s
    set -lx COMP_LINE (commandline -cp)
    test -z (commandline -ct)
    and set COMP_LINE "$COMP_LINE "
    %[2]s
end
complete -f -c %[1]s -a "(__complete_%[1]s)"
`,
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns the description and the examples that --help prints.
func (o *Options) Help() string {
	return `The script makes the shell complete the commands and flags of wasabirelay.

Examples:
  wasabirelay completion bash >>~/.bashrc
  wasabirelay completion fish >~/.config/fish/completions/wasabirelay.fish`
}

// Run prints the completion script of the shell.
func (o *Options) Run(context.Context) error {
	path, err := o.Program()
	if err != nil {
		return errors.Wrap(err, "locate the executable")
	}
	_, err = fmt.Fprintf(o.Out, scripts[o.Shell], program, "'"+path+"'")
	return errors.Wrap(err, "print")
}
