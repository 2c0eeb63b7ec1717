package soak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"wasabirelay/platform/standin"
)

// Names of the organisations.
const north, south = "north", "south"

// organisationKeys holds the keys of the organisations. The first key of each is in all documents, the second one in
// every other document.
var organisationKeys = map[string][]string{north: {"key-north", "key-north-2"}, south: {"key-south", "key-south-2"}}

// unknownKey is in no document.
const unknownKey = "key-unknown"

// organisations checks the keys of callers and the reports of usage. The zero value is ready to use.
type organisations struct {
	provider standin.Provider

	mu sync.Mutex
	// expected holds the organisation of each request that was sent with a key; "" if none holds the key.
	expected map[string]string
}

// document adds organisations to a routing document.
func (o *organisations) document(version uint64, document []byte) ([]byte, error) {
	keys := map[string][]string{}
	for name, list := range organisationKeys {
		keys[name] = list[:1+version%2]
	}
	return standin.WithOrganisations(document, singleRunServices[0], keys)
}

// sendKeyed sends requests with known and unknown keys until ctx is done. Only the first key of an organisation must be
// accepted by every host that knows a document.
func (r *Run) sendKeyed(ctx context.Context) {
	keys := []struct{ key, organisation string }{
		{"key-north", north}, {"key-south", south}, {"key-north-2", north}, {unknownKey, ""}, {"key-south-2", south},
	}
	for i := 0; ctx.Err() == nil; i++ {
		k, host := keys[i%len(keys)], i%r.EntryHosts
		id := r.nextID(host)
		r.organisations.mu.Lock()
		r.organisations.expected[id] = k.organisation
		r.organisations.mu.Unlock()
		r.traffic.recordSent(singleRunServices)
		a, err := standin.SendKeyed(ctx, r.callerLinks[host].Address, id, k.key, callerTimeout)
		switch {
		case err != nil:
		case k.organisation == "":
			if a.Status == http.StatusOK {
				r.check.addViolation("request %s with an unknown key got an answer", id)
			}
		case k.key == organisationKeys[k.organisation][0] && a.Status == http.StatusUnauthorized:
			r.check.addViolation("request %s of %s was refused, although its key is in all documents", id, k.organisation)
		}
		time.Sleep(r.CallPause)
	}
}

// checkRun checks what a target is told of the caller.
func (o *organisations) checkRun(x *standin.Execution, to *checker) {
	name, keyShown := x.Organisation()
	if keyShown {
		to.addViolation("a target was shown the key of request %s", x.Request)
	}
	o.mu.Lock()
	want, keyed := o.expected[x.Request]
	o.mu.Unlock()
	switch {
	case keyed && want == "":
		to.addViolation("request %s ran, although no organisation holds its key", x.Request)
	case name != want:
		to.addViolation("request %s of organisation %q ran as one of %q", x.Request, want, name)
	}
}

// report adds what the provider has found.
func (o *organisations) report(to *checker) {
	for _, text := range o.provider.Violations() {
		to.addViolation("reports of usage: %s", text)
	}
}

// recordRun is called when a target begins to run a request.
func (r *Run) recordRun(x *standin.Execution) {
	r.check.recordRun(x)
	if r.Organisations {
		r.organisations.checkRun(x, &r.check)
	}
}
