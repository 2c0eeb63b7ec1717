package root

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a check that accepts what the system rejects, that exits with the wrong code, or that prints keys.
func TestRoutingCheck(t *testing.T) {
	const sound = `{"version":8,"routes":[{"name":"item","host":"a.example","path-prefix":"/item/","kind":"idempotent","timeout-ms":900,` +
		`"target-latency-ms":80,"service":"single","attempts":2}],"services":[{"name":"single","max-connections":20}]}`
	old := filepath.Join(t.TempDir(), "old.json")
	if err := os.WriteFile(old, []byte(strings.NewReplacer(`"version":8`, `"version":7`, "900", "1000").Replace(sound)), 0o600); err != nil {
		t.Fatal(err)
	}
	unused := strings.Replace(sound, `[{"name":"single"`, `[{"name":"old","max-connections":1},{"name":"single"`, 1)
	for _, c := range []struct {
		name, args, input string
		code              int
		out, err          string
	}{
		{"sound", "", sound, 0, "", "version 8 can be put in force; 0 findings"},
		{"invalid", "", strings.Replace(sound, `"service":"single"`, `"service":"none"`, 1), 4, "", "service none is not known"},
		{"invalid as JSON", "--json", "{", 4, `"error":"routing document`, ""},
		{"a finding", "", unused, 5, "unused\tservice old\tno route sends requests to it", "next: "},
		{"a finding as JSON", "--json", unused, 5, `"kind":"unused","entry":"service old"`, ""},
		{"differences", "--against " + old, sound, 0, "route item.timeout\t1s\t900ms\n", "differs from version 7 in 1 fields"},
		{"too few connections", "--among 30", sound, 5, "contradiction\tservice single", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &harness{t: t, replies: map[string]string{}, input: c.input}
			is.Equal(h.run(strings.Fields("routing check - "+c.args)...), c.code)
			assertContains(t, h.out.String(), c.out)
			assertContains(t, h.err.String(), c.err)
		})
	}
}
