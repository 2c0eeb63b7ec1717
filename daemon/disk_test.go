package daemon_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"wasabirelay/operator"
)

// Guards against an operator who can't tell a control host with a full disk from one that is cut off, and against a
// finding that outlasts its cause.
func TestStatusNamesFailingDisk(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3, "h1", "h2", "h3")
	g.startAll()
	leader := g.awaitLeader()
	victim := g.names[0]
	if victim == leader {
		victim = g.names[1]
	}
	fill := func(full bool) {
		limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
		if full {
			limit.Cur = 0
		}
		is.NoErr(unix.Prlimit(g.daemons[victim].cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
	}
	named := func() bool {
		status, body := sendRequest(http.MethodGet, "http://"+loopback(g.ports[victim][1])+"/v1/status", nil, nil)
		var s operator.Status
		return status == http.StatusOK && json.Unmarshal(body, &s) == nil &&
			slices.ContainsFunc(s.Findings, func(f operator.Finding) bool { return f.Description == "its disk refuses writes" })
	}
	is.True(!named())
	fill(true)
	version := uint64(0)
	change := func() {
		version = g.mustApply(leader, version, fmt.Sprint("c", version), g.inventory(fmt.Sprint("r", version))).Version
	}
	change()
	g.waitFor("the finding of the full disk", named)
	fill(false)
	g.waitFor("the end of the finding", func() bool { return !named() })
	change()
}
