package apply

import (
	"fmt"
	"strings"
	"time"

	"wasabirelay/client"
	"wasabirelay/command/factory"
	"wasabirelay/operator"
)

// Commit holds the common flags of the commands that change the inventory or a move. The
// default of Wait is the time within which a change is in force everywhere at the largest size
// that the system is designed for.
type Commit struct {
	Change string        `help:"ID of the change; repeat it to send the same change again." placeholder:"ID"`
	Wait   time.Duration `help:"How long to wait until the change is in force everywhere; at most 30s." default:"8s"`
	JSON   bool          `help:"Print JSON."`
}

// Outcome is what the commands print with --json.
type Outcome struct {
	operator.ChangeResponse
	Change string `json:"change"`
}

// Send sends a change and prints its outcome. Without --change it gives the change a new ID. It
// returns an error if the change is accepted but not in force everywhere within Wait.
func (o *Commit) Send(f *factory.Factory, send func(c *client.Client, change string) (*operator.ChangeResponse, error)) error {
	c, err := f.Operator()
	if err != nil {
		return err
	}
	c.Timeout += o.Wait
	change := o.Change
	if change == "" {
		change = f.Identity()
	}
	applied, err := send(c, change)
	if err != nil {
		return factory.Explain(err, "repeat the command with --change "+change)
	}
	if o.JSON {
		err = f.JSON(Outcome{*applied, change})
	} else {
		fmt.Fprintf(f.Out, "accepted: inventory version %d, change %s\n", applied.Version, change)
	}
	if err != nil || applied.InForce {
		return err
	}
	return &factory.Error{
		Code: factory.Incomplete, Text: describePending(applied),
		Next: "it will come into force; see 'wasabirelay host list', or repeat the command with --change " + change,
	}
}

// describePending describes why an accepted change is not in force everywhere.
func describePending(applied *operator.ChangeResponse) string {
	var missing []string
	for _, h := range applied.Hosts {
		if h.Live && h.Applied < applied.Index {
			missing = append(missing, h.Host)
		}
	}
	switch {
	case applied.Detail != "":
		return applied.Detail
	case len(missing) > 0:
		return "accepted, but not in force yet on " + strings.Join(missing, ", ")
	default:
		return "accepted, but leases of an earlier leader may last until " + applied.PreviousLeasesEnd.UTC().Format(time.RFC3339)
	}
}
