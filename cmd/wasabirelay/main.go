// Command wasabirelay is the command line of operators and callers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"

	"github.com/alecthomas/kong"
	"github.com/dghubble/sling"
	"github.com/google/uuid"

	"wasabirelay/answer"
	"wasabirelay/client"
)

type options struct {
	Hosts []netip.AddrPort `help:"Caller addresses of entry hosts." required:""`
	Query query            `cmd:"" help:"Send a query."`
}

type query struct {
	Service string `arg:""`
	Query   string `arg:"" help:"Query as JSON."`
}

func (q *query) Run(o *options) error {
	c := &client.Client{Addresses: o.Hosts}
	body := answer.Request{Request: uuid.NewString(), Query: json.RawMessage(q.Query), Idempotent: true}
	var out answer.Answer
	err := c.Do(context.Background(), func(s *sling.Sling) *sling.Sling {
		return s.Post("/v1/services/" + q.Service + "/query").BodyJSON(body)
	}, &out)
	if err != nil {
		return err
	}
	text, err := json.Marshal(out)
	fmt.Println(string(text))
	return err
}

func main() {
	var o options
	k := kong.Parse(&o)
	if err := k.Run(&o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
