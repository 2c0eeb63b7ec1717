package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"wasabirelay/platform/standin"
)

// sendRequests alternates between the two kinds of requests until ctx is done.
func (r *Run) sendRequests(ctx context.Context, caller int) {
	for i := 0; ctx.Err() == nil; i++ {
		host := (caller + i) % r.EntryHosts
		id := r.nextID(host)
		to, method := &mergedRoute, http.MethodGet
		if i%2 == 1 {
			to, method = &singleRunRoute, http.MethodPost
			r.check.expectSingleRun(id)
		}
		r.traffic.recordSent(to.services)
		a, err := standin.SendRequest(ctx, r.callerLinks[host].Address, method, to.path, id, callerTimeout)
		if err == nil { // otherwise the caller sees only a timeout or a closed connection
			r.check.checkAnswer(id, to, a)
		}
		time.Sleep(r.CallPause)
	}
}

// route is a route of the routing document. Requests to it may run only once if singleRun is true, and
// go to all services if merged is true.
type route struct {
	path              string
	services          []string
	attempts          int
	singleRun, merged bool
}

var (
	mergedRoute    = route{path: "/all/x", services: shards, attempts: 2, merged: true}
	singleRunRoute = route{path: "/one/x", services: singleRunServices, attempts: 1, singleRun: true}
	repeatedRoute  = route{path: "/any/x", services: singleRunServices, attempts: 3}
)

// singleRunServices holds the service of the requests that may run only once.
var singleRunServices = []string{"one"}

// documentPause is the pause between two documents of the operator.
const documentPause = 300 * time.Millisecond

// putDocuments sends one document after the other until ctx is done.
func (r *Run) putDocuments(ctx context.Context) {
	for ctx.Err() == nil {
		timed, cancel := context.WithTimeout(ctx, recoveryTimeout)
		_ = r.putDocument(timed) // without an acknowledgement nothing is guaranteed
		cancel()
		time.Sleep(documentPause)
	}
}

// putDocument sends the next document and retries until it is acknowledged.
func (r *Run) putDocument(ctx context.Context) error {
	version := r.version.Add(1)
	document := standin.RoutingDocument(version, shards, singleRunServices[0])
	if r.Organisations {
		var err error
		if document, err = r.organisations.document(version, document); err != nil {
			return err
		}
	}
	if err := standin.PutRouting(ctx, r.deployment.OperatorAddresses(), document); err != nil {
		return err
	}
	r.acked.Store(version)
	return nil
}

// checkReads checks that no control host returns a document older than an acknowledged one.
func (r *Run) checkReads(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		acked := r.acked.Load()
		at := r.deployment.OperatorAddresses()[i%r.ControlHosts]
		if version, err := standin.RoutingVersionAt(ctx, at); err == nil && version < acked {
			r.check.addViolation("control host %s returned document %d after %d was acknowledged", at, version, acked)
		}
		time.Sleep(documentPause / 10)
	}
}

// checkVersions checks that an entry host never reverts to an older document while its
// process runs.
func (r *Run) checkVersions(ctx context.Context, m *standin.Machine) {
	var newest uint64
	var lastStarts int64
	for ctx.Err() == nil {
		if starts := m.Starts(); starts != lastStarts {
			newest, lastStarts = 0, starts
		}
		if v := r.version.Load(); r.inForce(ctx, m, v) && m.Starts() == lastStarts {
			newest = max(newest, v)
		}
		if newest > 1 && r.inForce(ctx, m, newest-1) && m.Starts() == lastStarts {
			r.check.addViolation("%s served document %d and then an older one", m.Name, newest)
		}
		time.Sleep(documentPause / 10)
	}
}

// inForce reports whether the document of a version is in force on an entry host. Each
// document has a route that only it contains.
func (r *Run) inForce(ctx context.Context, m *standin.Machine, version uint64) bool {
	sent := time.Now()
	a, err := standin.SendRequest(ctx, m.CallerAddress(), http.MethodGet, fmt.Sprintf("/v%d/x", version), r.nextID(r.entryIndex(m)), callerTimeout)
	if err != nil || a.Status != http.StatusNotFound {
		r.traffic.recordSentAt(sent, singleRunServices) // without the route it is a request for no service
	}
	return err == nil && a.Status == http.StatusOK
}
