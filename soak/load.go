package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"wasabirelay/platform/standin"
)

// sendRequests sends requests of both kinds until ctx ends.
func (r *Run) sendRequests(ctx context.Context, caller int) {
	for i := 0; ctx.Err() == nil; i++ {
		id := r.nextID()
		path, method, services := "/all/x", http.MethodGet, shards
		if i%2 == 1 {
			path, method, services = "/one/x", http.MethodPost, singleRunServices
			r.check.expectSingleRun(id)
		}
		r.traffic.recordSent(services)
		to := r.callerLinks[(caller+i)%r.EntryHosts].Address
		a, err := standin.SendRequest(ctx, to, method, path, id, callerTimeout)
		if err == nil { // otherwise the caller sees nothing but a closed connection
			r.check.checkAnswer(id, path == "/one/x", a)
		}
		time.Sleep(callPause)
	}
}

// singleRunServices is the service of the requests that may run once.
var singleRunServices = []string{"one"}

// documentPause separates the documents of the operator.
const documentPause = 300 * time.Millisecond

// putDocuments sends one document after the other until ctx ends.
func (r *Run) putDocuments(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, recoveryTimeout)
		_ = r.putDocument(call) // without an acknowledgement nothing is promised
		cancel()
		time.Sleep(documentPause)
	}
}

// putDocument sends the next document until it is acknowledged.
func (r *Run) putDocument(ctx context.Context) error {
	version := r.version.Add(1)
	if err := standin.PutRouting(ctx, r.deployment.OperatorAddresses(), standin.RoutingDocument(version, shards, singleRunServices[0])); err != nil {
		return err
	}
	r.acked.Store(version)
	return nil
}

// checkReads checks that no control host shows a document older than an acknowledged one.
func (r *Run) checkReads(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		acked := r.acked.Load()
		at := r.deployment.OperatorAddresses()[i%r.ControlHosts]
		if version, err := standin.RoutingVersionAt(ctx, at); err == nil && version < acked {
			r.check.addViolation("control host %s shows document %d after %d was acknowledged", at, version, acked)
		}
		time.Sleep(documentPause / 10)
	}
}

// checkVersions checks that an entry host never returns to an older document while its process
// runs.
func (r *Run) checkVersions(ctx context.Context, m *standin.Machine) {
	var seen uint64
	var run int64
	for ctx.Err() == nil {
		if starts := m.Starts(); starts != run {
			seen, run = 0, starts
		}
		if v := r.version.Load(); r.inForce(ctx, m, v) && m.Starts() == run {
			seen = max(seen, v)
		}
		if seen > 1 && r.inForce(ctx, m, seen-1) && m.Starts() == run {
			r.check.addViolation("%s showed document %d and then an older one", m.Name, seen)
		}
		time.Sleep(documentPause / 10)
	}
}

// inForce reports whether the document of a version is in force on an entry host: each
// has a route of its own.
func (r *Run) inForce(ctx context.Context, m *standin.Machine, version uint64) bool {
	r.traffic.recordSent(singleRunServices)
	a, err := standin.SendRequest(ctx, m.CallerAddress(), http.MethodGet, fmt.Sprintf("/v%d/x", version), r.nextID(), callerTimeout)
	return err == nil && a.Status == http.StatusOK
}
