package settings

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"wasabirelay/document"
)

const validSettings = `{
  // An entry host that is a control host.
  "host": "h1", "centre": "huonville", "data": "data",
  "caller": {"address": "127.0.0.1:7101"},
  "operator": {"address": "127.0.0.1:7301"},
  "peer": {"address": "127.0.0.1:7201"},
  "control": {"h1": "127.0.0.1:7201", "h2": "127.0.0.2:7201"},
}`

func ExampleParse() {
	_, err := Parse("relay.json", []byte(strings.Replace(validSettings, `"127.0.0.1:7301"`, `"10.0.0.1:7301"`, 1)))
	fmt.Println(err)
	// Output:
	// relay.json:5:15: operator: got {"address":"10.0.0.1:7301"}, allowed: "tls", or "plain": true for plain text on an address that is not loopback
}

// Guards against a daemon that starts with invalid settings: each fault is reported with its
// line and field.
func TestParseReportsFaults(t *testing.T) {
	_, err := Parse("f", []byte(validSettings))
	is.New(t).NoErr(err)
	for _, tt := range []struct {
		name, from, to string
		line           int
		field          string
	}{
		{"unknown name", `"centre"`, `"center"`, 3, "center"},
		{"repeated name", `"data": "data"`, `"host": "h2"`, 3, "host"},
		{"wrong type", `"h1", "centre"`, `1, "centre"`, 3, "host"},
		{"no host", `"h1", "centre"`, `"", "centre"`, 3, "host"},
		{"name instead of IP address", `"127.0.0.1:7101"`, `"localhost:7101"`, 4, "caller.address"},
		{"no port", `"127.0.0.1:7101"`, `"127.0.0.1:0"`, 4, "caller.address"},
		{"repeated address", `"127.0.0.1:7301"`, `"127.0.0.1:7101"`, 5, "operator.address"},
		{"plain text not allowed", `"127.0.0.1:7301"`, `"192.0.2.1:7301"`, 5, "operator"},
		{"TLS without key", `{"address": "127.0.0.1:7301"}`, `{"address": "127.0.0.1:7301", "tls": {"certificate": "c"}}`, 5, "operator.tls.key"},
		{"data without an entry for this host", `{"h1": `, `{"h3": `, 3, "control"},
		{"peer address differs from listener", `"h1": "127.0.0.1:7201"`, `"h1": "127.0.0.1:7999"`, 7, "control.h1"},
		{"data missing", `"data": "data"`, `"log": "info"`, 2, "data"},
		{"unknown level", `"data": "data"`, `"data": "data", "log": "loud"`, 3, "log"},
		{"syntax", `"centre":`, `"centre"`, 3, "(syntax)"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validSettings, tt.from, tt.to, 1)
			is.True(text != validSettings)
			_, err := Parse("f", []byte(text))
			var faults *document.FaultsError
			is.True(errors.As(err, &faults))
			found := false
			for _, f := range faults.Faults {
				is.Equal(f.File, "f")
				is.True(f.Allowed != "")
				found = found || f.Field == tt.field && (f.Line == tt.line || tt.field == "control" || tt.field == "data")
			}
			if !found {
				t.Fatalf("no fault at line %d, field %s: %v", tt.line, tt.field, err)
			}
		})
	}
}

// Guards against faults whose order differs from run to run.
func TestFaultsAreInOrder(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(validSettings, `"127.0.0.2:7201"`, `"127.0.0.2:0", "h3": "127.0.0.3:0", "h4": "127.0.0.4:0", "h5": "127.0.0.5:0"`, 1)
	_, first := Parse("f", []byte(text))
	is.True(first != nil)
	for range 20 {
		_, err := Parse("f", []byte(text))
		is.Equal(err.Error(), first.Error())
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"host": [1, {"a": null}], // comment`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f", text)
		var faults *document.FaultsError
		if err != nil && !errors.As(err, &faults) {
			t.Fatalf("error is not a FaultsError: %v", err)
		}
		if (s == nil) == (err == nil) {
			t.Fatal("Parse returned both settings and an error, or neither")
		}
	})
}
