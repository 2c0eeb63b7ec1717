package root

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"wasabirelay/command/factory"
)

// harness runs the command line against a server with fixed replies.
type harness struct {
	t       *testing.T
	replies map[string]string // by method and path; a prefix such as "!409 " sets the status, "abort" closes the connection

	mu       sync.Mutex // a handler may still run after the caller has seen its connection close
	received map[string]string

	input    string
	terminal bool
	out, err bytes.Buffer
}

func (h *harness) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	route := r.Method + " " + r.URL.Path
	h.mu.Lock()
	h.received[route] = r.Header.Get("Idempotency-Key") + string(body)
	h.mu.Unlock()
	reply, ok := h.replies[route]
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

// sentTo returns key and body of the latest request to the route, a method and a path.
func (h *harness) sentTo(route string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.received[route]
}

func (h *harness) run(args ...string) int {
	h.mu.Lock()
	h.received = map[string]string{}
	h.mu.Unlock()
	server := httptest.NewServer(h)
	defer server.Close()
	h.t.Setenv("WASABIRELAY_OPERATOR", strings.TrimPrefix(server.URL, "http://"))
	h.t.Setenv("WASABIRELAY_HOSTS", strings.TrimPrefix(server.URL, "http://"))
	var addresses factory.Addresses
	f := factory.New(&addresses)
	f.Streams = factory.Streams{In: strings.NewReader(h.input), Out: &h.out, Err: &h.err, Terminal: h.terminal}
	f.Identity = func() string { return "id-1" }
	f.User = func() string { return "kari" }
	f.Clock = clockwork.NewFakeClock()
	f.Program = func() (string, error) { return "/opt/wasabirelay", nil }
	return Run(context.Background(), f, &addresses, args)
}

const document = `{"region":"tas-south","centres":{"huonville":{}}, // One.
 "hosts":{"h1":{"centre":"huonville","caller":"127.0.0.1:7101","operator":"127.0.0.1:7301","peer":"127.0.0.1:7201","control":true}}}`

// Guards against wrong output, wrong exit codes, and errors without a suggestion for the user.
func TestCommands(t *testing.T) {
	complete := `{"request":"id-1","service":"order-desk","version":"v1","snapshot":7,` +
		`"coverage":{"answered":2,"total":2,"missing":null},"shards":[{"shard":0,"result":{}},{"shard":1,"result":3}]}`
	partial := strings.NewReplacer(`"answered":2`, `"answered":1`, `null`, `[1]`, `,{"shard":1,"result":3}`, ``).Replace(complete)
	inForce := `{"version":2,"index":9,"accepted":true,"force":true}`
	move := `{"service":"order-desk","version":"v2","step":"trial","share":0.02,"targets":{"v2":1,"v1":3}}`
	for _, c := range []struct {
		name     string
		args     string
		reply    string // route, space, reply
		terminal bool
		code     int
		out      string // expected part of the output
		err      string // expected part of the error output
		sent     string // expected part of the idempotency key and body of the request
	}{
		{name: "help", args: "--help", out: "Exit codes"},
		{name: "help of a command", args: "query --help", out: "--coverage 0.9"},
		{name: "unknown command", args: "inventory aply", code: 2, err: "next: see 'wasabirelay"},
		{name: "missing argument", args: "query order-desk", code: 2, err: "next: see 'wasabirelay query"},
		{name: "completion", args: "completion bash", out: "complete -C '/opt/wasabirelay' wasabirelay\n"},
		{name: "version", args: "version --json", out: `{"client":`},

		{name: "query", args: `query order-desk {}`, reply: "POST /v1/services/order-desk/query " + complete, out: complete + "\n", sent: `"idempotent":true`},
		{name: "query on a terminal", args: `query order-desk {}`, reply: "POST /v1/services/order-desk/query " + complete, terminal: true, out: "2 of 2 shards\nSHARD  RESULT\n0      {}\n1      3\n"},
		{name: "query as JSON on a terminal", args: `query --json order-desk {}`, reply: "POST /v1/services/order-desk/query " + complete, terminal: true, out: complete + "\n"},
		{name: "query with less coverage", args: `query order-desk {} --coverage 0.5 --route web`, reply: "POST /v1/services/order-desk/query " + partial, out: partial, sent: `"route":"web","accept":{"coverage":0.5}`},
		{name: "query with too little coverage", args: `query order-desk {}`, reply: "POST /v1/services/order-desk/query " + partial, code: 5, err: "1 of 2 shards answered\nnext: "},
		{name: "query refused for coverage", args: `query order-desk {}`, reply: `POST /v1/services/order-desk/query !503 {"type":"urn:wasabirelay:coverage","executed":"ran"}`, code: 5, err: "next: "},
		{name: "query with an answer to another request", args: `query order-desk {} --request r2`, reply: "POST /v1/services/order-desk/query " + complete, code: 5, err: "another request"},
		{name: "query with inconsistent coverage", args: `query order-desk {}`, reply: "POST /v1/services/order-desk/query " + strings.Replace(complete, `"shard":1`, `"shard":0`, 1), code: 5, err: "does not contain"},
		{name: "query refused", args: `query order-desk {}`, reply: `POST /v1/services/order-desk/query !503 {"title":"full","executed":"none","retry":2}`, code: 1, err: "full\nnext: nothing was run; try again in 2 s"},
		{name: "query that is not JSON", args: `query order-desk braid`, code: 2, err: "next: put it in single quotes"},
		{name: "query with invalid coverage", args: `query order-desk {} --coverage 0`, code: 2, err: "next: "},
		{name: "query with a key but without once", args: `query order-desk {} --key k`, code: 2, err: "next: add --once"},
		{name: "query once", args: `query order-desk {} --once`, reply: "POST /v1/services/order-desk/query " + complete, out: complete, sent: `id-1{"request":"id-1","query":{},"accept":{"coverage":1},"idempotent":false}`},
		{name: "query with a lost reply", args: `query order-desk {}`, reply: "POST /v1/services/order-desk/query abort", code: 6, err: "next: the outcome is not known; send the same query again"},
		{name: "query that may have run", args: `query order-desk {}`, reply: `POST /v1/services/order-desk/query !503 {"title":"lost","executed":"unknown","retry":2}`, code: 6, err: "lost\nnext: the outcome is not known"},
		{name: "query once with a lost reply", args: `query order-desk {} --once --key k`, reply: "POST /v1/services/order-desk/query abort", code: 6, err: "next: the outcome is not known; send the same query again with --once --request id-1 --key k"},

		{name: "apply without base", args: "inventory apply -", code: 2, err: "next: add --base"},
		{name: "apply", args: "inventory apply - --base 1", reply: "POST /v1/inventory " + inForce, out: "accepted: inventory version 2, change id-1\n", sent: `{"base":1,"change":"id-1","operator":"kari","text":"{\"region\"`},
		{name: "apply as JSON", args: "inventory apply - --base 1 --change c --json", reply: "POST /v1/inventory " + inForce, out: `"force":true,"hosts":null,"change":"c"}`},
		{name: "apply not in force everywhere", args: "inventory apply - --base 1", reply: `POST /v1/inventory {"version":2,"index":9,"accepted":true,"force":false,"hosts":[{"host":"h1","applied":9,"live":true},{"host":"h2","applied":8,"live":true},{"host":"h3","applied":8}]}`, code: 5, out: "version 2", err: "not in force yet on h2\nnext: "},
		{name: "apply with a conflict", args: "inventory apply - --base 0", reply: `POST /v1/inventory !409 {"type":"urn:wasabirelay:conflict","title":"Conflict with another change","executed":"none","operator":"per","change":"c7","version":4,"differences":[{"field":"rules.lost","from":"stop"}]}`, code: 3, err: "winner: change c7 by per, version 4\n  rules.lost: stop there, nothing here\nnext: read what is in force"},
		{name: "apply with a lost reply", args: "inventory apply - --base 1", reply: "POST /v1/inventory abort", code: 6, err: "next: the outcome is not known; repeat the command with --change id-1"},
		{name: "apply with an unknown outcome", args: "inventory apply - --base 1", reply: `POST /v1/inventory !503 {"title":"Service unavailable","executed":"unknown"}`, code: 6, err: "repeat the command with --change id-1"},
		{name: "show", args: "inventory show", reply: `GET /v1/inventory {"version":3,"text":"{} // One."}`, out: "{} // One.", err: "version 3\n"},
		{name: "check", args: "inventory check -", reply: `POST /v1/inventory/check {"version":3,"differences":[{"field":"rules.lost","from":"stop","to":"survive"}]}`, out: "rules.lost\tstop\tsurvive\n", err: "differs from version 3 in 1 fields"},
		{name: "check offline", args: "inventory check - --offline", err: "no faults"},
		{name: "rule list", args: "rule list", reply: `GET /v1/rules {"version":3,"rules":{"keep":"5s","hedge":{"budget":0.05}}}`, terminal: true, out: "RULE          VALUE\nhedge.budget  0.05\nkeep          5s\n"},
		{name: "move list", args: "move list", reply: `GET /v1/moves {"moves":[` + move + `]}`, terminal: true, out: "order-desk  v2       trial  2%"},
		{name: "move show", args: "move show order-desk", reply: "GET /v1/moves/order-desk " + move, out: "v1:3,v2:1"},
		{name: "move show without a move", args: "move show dye-log", reply: `GET /v1/moves/dye-log !404 {"title":"Not found","executed":"none"}`, code: 1, err: "next: check the name"},
		{name: "move watch until it is reverted", args: "move watch order-desk", reply: "GET /v1/moves/order-desk " + strings.Replace(move, `"share":0.02`, `"share":0,"reverted":true,"reason":"slow"`, 1), code: 5, err: "the move was reverted: slow\nnext: "},
		{name: "move watch until it is done", args: "move watch order-desk --json", reply: "GET /v1/moves/order-desk " + strings.Replace(move, "0.02", "1", 1), out: `"share":1`},
		{name: "move revert", args: "move revert order-desk v2 --reason prices", reply: "POST /v1/moves/order-desk/revert " + inForce, out: "accepted", sent: `{"change":"id-1","operator":"kari","version":"v2","reason":"prices"}`},
		{name: "move revert of another version", args: "move revert order-desk v1", reply: `POST /v1/moves/order-desk/revert !409 {"title":"Conflict with another change"}`, code: 3, err: "next: "},
		{name: "host list", args: "host list", reply: `GET /v1/hosts {"hosts":[{"host":"h1","centre":"huonville","caller":"127.0.0.1:7101","operator":"127.0.0.1:7301","control":true,"lease":{"live":true,"applied":9}}]}`, out: "h1\thuonville\t127.0.0.1:7101\t127.0.0.1:7301\ttrue\theld\t9\n"},
		{name: "target list", args: "target list --state warm", reply: `GET /v1/targets {"targets":[{"target":"od-1","address":"127.0.0.1:7401","shards":[1,2],"snapshots":[{"number":7,"shards":3}],"state":"warm"},{"target":"od-2","state":"cold"}]}`, out: "127.0.0.1:7401\twarm\t1,2\t7/3"},
		{name: "status without findings", args: "status", reply: `GET /v1/status {"findings":[],"targets":12}`, out: "in order  inventory 0  leader none  targets 12"},
		{name: "status with a failure", args: "status", reply: `GET /v1/status {"level":"failed","findings":[{"level":"failed","subject":"service order-desk"}]}`, code: 5, out: "failed: service order-desk", err: "next: "},
		{name: "version of a host", args: "version --server", reply: `GET /v1/version {"program":"v0.1.0","host":"h1"}`, out: "h1\tv0.1.0\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &harness{t: t, replies: map[string]string{}, input: document, terminal: c.terminal}
			method, rest, _ := strings.Cut(c.reply, " ")
			path, reply, _ := strings.Cut(rest, " ")
			h.replies[method+" "+path] = reply
			is.Equal(h.run(strings.Fields(c.args)...), c.code)
			assertContains(t, h.out.String(), c.out)
			assertContains(t, h.err.String(), c.err)
			assertContains(t, h.sentTo(method+" "+path), c.sent)
		})
	}
}

func assertContains(t *testing.T, text, part string) {
	t.Helper()
	if !strings.Contains(text, part) {
		t.Errorf("%q does not contain %q", text, part)
	}
}

// Guards against a request without a configured host address, and against addresses that are
// read before the arguments have been parsed.
func TestAddresses(t *testing.T) {
	is := is.New(t)
	t.Setenv("WASABIRELAY_OPERATOR", "")
	var addresses factory.Addresses
	f := factory.New(&addresses)
	var errs bytes.Buffer
	f.Err = &errs
	is.Equal(Run(t.Context(), f, &addresses, []string{"status"}), factory.Usage)
	assertContains(t, errs.String(), "next: set --operator or WASABIRELAY_OPERATOR")
	is.Equal(Run(t.Context(), f, &addresses, []string{"status", "--operator", "127.0.0.1:1,127.0.0.1:2"}), factory.Failed)
	is.Equal(len(addresses.Operator), 2)
	is.Equal(Run(t.Context(), f, &addresses, []string{"status", "--operator", "huonville"}), factory.Usage)
}

// Guards against a file name that is taken for standard input, and the reverse.
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

// Guards against a completion that ignores the variable COMP_LINE, which the shell sets.
func TestCompletion(t *testing.T) {
	is := is.New(t)
	t.Setenv("COMP_LINE", "wasabirelay move re")
	h := &harness{t: t}
	is.Equal(h.run("move", "re", "move"), 0)
	is.Equal(h.out.String(), "revert\n")
}

// Guards against a rule change that loses comments of the document, or whose base is not the
// version that was edited.
func TestRuleChanges(t *testing.T) {
	text := strings.ReplaceAll(document, "\n", " ")
	text = strings.Replace(text, "// One.", "/* One. */", 1)
	for _, c := range []struct {
		args, text string
		code       int
		sent, err  string
	}{
		{"rule set hedge.budget 0.1", text, 0, `"hedge": {"budget": 0.1}`, ""},
		{"rule set lost stop", text, 0, `"lost": "stop"`, ""},
		{"rule set lost perhaps", text, 4, "", "rules.lost"},
		{"rule unset lost", strings.Replace(text, `"hosts"`, `"rules":{"lost":"stop","keep":"3s"},"hosts"`, 1), 0, `"keep":"3s"`, ""},
		{"rule unset lost", text, 4, "", "next: see 'wasabirelay rule list'"},
	} {
		t.Run(c.args, func(t *testing.T) {
			is := is.New(t)
			quoted, err := json.Marshal(c.text)
			is.NoErr(err)
			h := &harness{t: t, replies: map[string]string{
				"GET /v1/inventory":  `{"version":6,"text":` + string(quoted) + `}`,
				"POST /v1/inventory": `{"version":7,"accepted":true,"force":true}`,
			}}
			is.Equal(h.run(strings.Fields(c.args)...), c.code)
			assertContains(t, h.err.String(), c.err)
			if c.code != 0 {
				is.Equal(h.sentTo("POST /v1/inventory"), "")
				return
			}
			var sent struct {
				Base uint64
				Text string
			}
			is.NoErr(json.Unmarshal([]byte(h.sentTo("POST /v1/inventory")), &sent))
			is.Equal(sent.Base, uint64(6))
			assertContains(t, sent.Text, c.sent)
			assertContains(t, sent.Text, "/* One. */")
			is.Equal(strings.Contains(sent.Text, `"lost":"stop"`), false) // Either unset, or set with a space after the colon.
		})
	}
}
