// Package query implements the command "query".
package query

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"wasabirelay/answer"
	"wasabirelay/client"
	"wasabirelay/command/factory"
)

// Options holds the arguments, flags and dependencies of the command.
type Options struct {
	*factory.Factory `kong:"-"`

	Service  string        `arg:"" help:"Service to query."`
	Query    string        `arg:"" help:"Query as JSON."`
	Coverage float64       `help:"Minimum fraction of shards that must answer, above 0 and at most 1." default:"1"`
	Route    string        `help:"Route of the service that the query uses."`
	Timeout  time.Duration `help:"Deadline of the query; 0 uses the deadline of the service." default:"0s"`
	Once     bool          `help:"Run the query at most once, because it is not idempotent."`
	Key      string        `help:"Idempotency key of a query with --once, to send the same query again." placeholder:"KEY"`
	Request  string        `help:"ID of the request; a new one by default." placeholder:"ID"`
	JSON     bool          `help:"Print the answer as JSON on one line; the default if the output is not a terminal."`
}

// New returns the command.
func New(f *factory.Factory) Options { return Options{Factory: f} }

// Help returns the examples that --help prints.
func (o *Options) Help() string {
	return `Examples:
  wasabirelay query order-desk '{"q":"braid"}'
  wasabirelay query order-desk '{"q":"braid"}' --coverage 0.9 --timeout 82ms --json
  wasabirelay query order-desk '{"book":12}' --once`
}

// Run sends the query and prints the answer. It returns an error if the answer falls short of
// the request.
func (o *Options) Run(ctx context.Context) error {
	if err := o.check(); err != nil {
		return err
	}
	c, err := o.Caller()
	if err != nil {
		return err
	}
	q := client.Query{
		Service: o.Service, Key: o.Key, Timeout: o.Timeout,
		Request: answer.Request{
			Request: o.Request, Query: json.RawMessage(o.Query), Route: o.Route, Accept: answer.Accept{Coverage: o.Coverage},
			Idempotent: !o.Once,
		},
	}
	if q.Request.Request == "" {
		q.Request.Request = o.Identity()
	}
	resend := "send the same query again; it may have run already"
	if o.Once {
		if q.Key == "" {
			q.Key = o.Identity()
		}
		resend = "send the same query again with --once --request " + q.Request.Request + " --key " + q.Key
	}
	a, err := c.Query(ctx, q)
	if err != nil {
		return factory.Explain(err, resend)
	}
	if err := o.print(a); err != nil {
		return err
	}
	return CheckAnswer(&q, a)
}

func (o *Options) check() error {
	usageError := func(text, next string) error { return &factory.Error{Code: factory.Usage, Text: text, Next: next} }
	switch {
	case !json.Valid([]byte(o.Query)):
		return usageError("the query is not valid JSON", `put it in single quotes, for example '{"q":"braid"}'`)
	case o.Coverage <= 0 || o.Coverage > 1:
		return usageError("--coverage must be above 0 and at most 1", "use 1 for all shards")
	case o.Key != "" && !o.Once:
		return usageError("--key requires --once", "add --once, or omit --key for an idempotent query")
	case o.Timeout < 0:
		return usageError("--timeout must not be negative", `use a duration such as "82ms"`)
	}
	return nil
}

func (o *Options) print(a *answer.Answer) error {
	if o.JSON || !o.Terminal {
		return o.Streams.JSON(a)
	}
	fmt.Fprintf(o.Out, "%s, version %s, snapshot %d, %d of %d shards\n",
		a.Service, a.Version, a.Snapshot, a.Coverage.Answered, a.Coverage.Total)
	var rows [][]string
	for _, s := range a.Shards {
		rows = append(rows, []string{strconv.Itoa(s.Shard), string(s.Result)})
	}
	return o.Table([]string{"SHARD", "RESULT"}, rows)
}

// CheckAnswer returns an error unless the answer belongs to the query, contains the shards that
// it reports and covers enough shards.
func CheckAnswer(q *client.Query, a *answer.Answer) error {
	seen := map[int]bool{}
	for _, s := range a.Shards {
		if s.Shard >= 0 && s.Shard < a.Coverage.Total {
			seen[s.Shard] = true
		}
	}
	var fault string
	switch {
	case a.Request != q.Request.Request || a.Service != q.Service:
		fault = "the answer belongs to another request"
	case len(seen) != len(a.Shards) || len(seen) != a.Coverage.Answered:
		fault = "the answer does not contain the shards that it reports"
	case a.Coverage.Total <= 0 || float64(a.Coverage.Answered) < q.Accept.Coverage*float64(a.Coverage.Total):
		fault = fmt.Sprintf("%d of %d shards answered", a.Coverage.Answered, a.Coverage.Total)
	default:
		return nil
	}
	return &factory.Error{Code: factory.Incomplete, Text: fault, Next: "repeat the query, or accept less with --coverage"}
}
