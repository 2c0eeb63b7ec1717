package root

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/command/factory"
)

// bench runs the command line against a server with fixed replies.
type bench struct {
	t        *testing.T
	replies  map[string]string // by method and path; "!409 " in front sets the status
	received map[string]string
	input    string
	terminal bool
	out, err bytes.Buffer
}

func (b *bench) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	route := r.Method + " " + r.URL.Path
	b.received[route] = r.Header.Get("Idempotency-Key") + string(body)
	reply, ok := b.replies[route]
	switch {
	case !ok:
		http.NotFound(w, r)
	case reply == "abort":
		panic(http.ErrAbortHandler)
	case reply[0] == '!':
		w.WriteHeader(map[string]int{"400": 400, "404": 404, "409": 409, "503": 503}[reply[1:4]])
		reply = reply[5:]
	}
	_, _ = io.WriteString(w, reply)
}

func (b *bench) run(args ...string) int {
	b.received = map[string]string{}
	server := httptest.NewServer(b)
	defer server.Close()
	b.t.Setenv("WASABIRELAY_OPERATOR", strings.TrimPrefix(server.URL, "http://"))
	b.t.Setenv("WASABIRELAY_HOSTS", strings.TrimPrefix(server.URL, "http://"))
	var addresses factory.Addresses
	f := factory.New(&addresses)
	f.Streams = factory.Streams{In: strings.NewReader(b.input), Out: &b.out, Err: &b.err, Terminal: b.terminal}
	f.Identity = func() string { return "id-1" }
	f.User = func() string { return "kari" }
	f.Clock = clockwork.NewFakeClock()
	f.Program = func() (string, error) { return "/opt/wasabirelay", nil }
	return Run(context.Background(), f, &addresses, args)
}

const document = `{"region":"tas-south","centres":{"huonville":{}}, // One.
 "hosts":{"h1":{"centre":"huonville","caller":"127.0.0.1:7101","operator":"127.0.0.1:7301","peer":"127.0.0.1:7201","control":true}}}`

// Guards against wrong output, wrong exit codes, and errors that leave the user
// without a next step.
func TestCommands(t *testing.T) {
	complete := `{"request":"id-1","service":"order-desk","version":"v1","snapshot":7,` +
		`"coverage":{"answered":2,"total":2,"missing":null},"shards":[{"shard":0,"result":{}},{"shard":1,"result":3}]}`
	partial := strings.NewReplacer(`"answered":2`, `"answered":1`, `null`, `[1]`, `,{"shard":1,"result":3}`, ``).Replace(complete)
	for _, c := range []struct {
		name     string
		args     string
		reply    string // route, space, reply
		terminal bool
		code     int
		out      string // has to be in the output
		err      string // has to be in the error output
		sent     string // has to be in the body of the request
	}{
		{name: "help", args: "--help", out: "Exit codes"},
		{name: "help of a command", args: "query --help", out: "--coverage 0.9"},
		{name: "unknown command", args: "inventory aply", code: 2, err: "next: see 'wasabirelay"},
		{name: "missing argument", args: "query order-desk", code: 2, err: "next: see 'wasabirelay query"},
		{name: "completion", args: "completion bash", out: "complete -C '/opt/wasabirelay' wasabirelay\n"},
		{name: "version", args: "version --json", out: `{"client":`},

		{name: "query", args: `query order-desk {}`, reply: "POST /v1/services/order-desk/query " + complete, out: complete + "\n", sent: `"idempotent":true`},
		{name: "query for a person", args: `query order-desk {}`, reply: "POST /v1/services/order-desk/query " + complete, terminal: true, out: "2 of 2 shards\nSHARD  RESULT\n0      {}\n1      3\n"},
		{name: "query as JSON for a person", args: `query --json order-desk {}`, reply: "POST /v1/services/order-desk/query " + complete, terminal: true, out: complete + "\n"},
		{name: "query with less coverage", args: `query order-desk {} --coverage 0.5`, reply: "POST /v1/services/order-desk/query " + partial, out: partial, sent: `"coverage":0.5`},
		{name: "query with too little coverage", args: `query order-desk {}`, reply: "POST /v1/services/order-desk/query " + partial, code: 5, err: "1 of 2 shards answered\nnext: "},
		{name: "query refused for coverage", args: `query order-desk {}`, reply: `POST /v1/services/order-desk/query !503 {"type":"urn:wasabirelay:coverage","executed":"ran"}`, code: 5, err: "next: "},
		{name: "query with an answer of another request", args: `query order-desk {} --request r2`, reply: "POST /v1/services/order-desk/query " + complete, code: 5, err: "another request"},
		{name: "query with a false coverage", args: `query order-desk {}`, reply: "POST /v1/services/order-desk/query " + strings.Replace(complete, `"shard":1`, `"shard":0`, 1), code: 5, err: "does not contain"},
		{name: "query refused", args: `query order-desk {}`, reply: `POST /v1/services/order-desk/query !503 {"title":"full","executed":"none","retry":2}`, code: 1, err: "full\nnext: nothing was run; try again in 2 s"},
		{name: "query without JSON", args: `query order-desk braid`, code: 2, err: "next: put it in single quotes"},
		{name: "query with a wrong coverage", args: `query order-desk {} --coverage 0`, code: 2, err: "next: "},
		{name: "query with a key only", args: `query order-desk {} --key k`, code: 2, err: "next: add --once"},
		{name: "query once", args: `query order-desk {} --once`, reply: "POST /v1/services/order-desk/query " + complete, out: complete, sent: `id-1{"request":"id-1","query":{},"accept":{"coverage":1},"idempotent":false}`},
		{name: "query once without an outcome", args: `query order-desk {} --once --key k`, reply: "POST /v1/services/order-desk/query abort", code: 6, err: "next: the outcome is not known; send the same query again with --once --request id-1 --key k"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := &bench{t: t, replies: map[string]string{}, input: document, terminal: c.terminal}
			method, rest, _ := strings.Cut(c.reply, " ")
			path, reply, _ := strings.Cut(rest, " ")
			b.replies[method+" "+path] = reply
			is.Equal(b.run(strings.Fields(c.args)...), c.code)
			contains(t, b.out.String(), c.out)
			contains(t, b.err.String(), c.err)
			contains(t, b.received[method+" "+path], c.sent)
		})
	}
}

func contains(t *testing.T, text, part string) {
	t.Helper()
	if !strings.Contains(text, part) {
		t.Errorf("%q does not contain %q", text, part)
	}
}

// Guards against a command that asks a host without an address, and against an
// address that is read before the arguments have been parsed.
func TestAddresses(t *testing.T) {
	is := is.New(t)
	t.Setenv("WASABIRELAY_OPERATOR", "")
	var addresses factory.Addresses
	f := factory.New(&addresses)
	var errs bytes.Buffer
	f.Err = &errs
	is.Equal(Run(t.Context(), f, &addresses, []string{"status"}), factory.Usage)
	contains(t, errs.String(), "next: set --operator or WASABIRELAY_OPERATOR")
	is.Equal(Run(t.Context(), f, &addresses, []string{"status", "--operator", "127.0.0.1:1,127.0.0.1:2"}), factory.Failed)
	is.Equal(len(addresses.Operator), 2)
	is.Equal(Run(t.Context(), f, &addresses, []string{"status", "--operator", "huonville"}), factory.Usage)
}

// Guards against a file that is not read, or read as the input stream.
func TestReadFile(t *testing.T) {
	is := is.New(t)
	f := factory.New(&factory.Addresses{})
	f.In = strings.NewReader("stream")
	text, err := f.ReadFile("-")
	is.NoErr(err)
	is.Equal(string(text), "stream")
	name := filepath.Join(t.TempDir(), "x")
	is.NoErr(os.WriteFile(name, []byte("file"), 0o600))
	text, err = f.ReadFile(name)
	is.NoErr(err)
	is.Equal(string(text), "file")
	_, err = f.ReadFile(name + "y")
	is.True(errors.Is(err, os.ErrNotExist))
}
