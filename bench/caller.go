package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/answer"
	"wasabirelay/problem"
	"wasabirelay/target"
)

// callerConnections is the maximum number of idle connections that the load generator keeps to
// each entry host.
const callerConnections = 2048

// noReply is the refusal reason that is recorded if an entry host does not reply to a request.
const noReply = "no reply"

// Caller sends queries to the entry hosts in rotation.
type Caller struct {
	Service string
	Hosts   []netip.AddrPort
	// Failover is true if a request that got no complete reply is sent again to the next host.
	Failover bool
	HTTP     *http.Client
}

func newCaller(service string, hosts []netip.AddrPort) *Caller {
	return &Caller{Service: service, Hosts: hosts, HTTP: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: callerConnections, DisableCompression: true},
	}}
}

// Send sends a query to the host with the index n modulo the number of hosts. key is the
// idempotency key of a request that is not idempotent, and empty for an idempotent one.
func (c *Caller) Send(ctx context.Context, n int, request, key string) Sample {
	for try := 0; ; try++ {
		s, err := c.post(ctx, c.Hosts[(n+try)%len(c.Hosts)], request, key)
		if err == nil || !c.Failover || try == len(c.Hosts)-1 || ctx.Err() != nil {
			return s
		}
	}
}

func (c *Caller) post(ctx context.Context, host netip.AddrPort, request, key string) (Sample, error) {
	body := `{"request":"` + request + `","query":` + queryText(request) + `,"idempotent":` + strconv.FormatBool(key == "") + `}`
	url := "http://" + host.String() + "/v1/services/" + c.Service + "/query"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return Sample{Refused: true}, errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(answer.HeaderIdempotencyKey, key)
	}
	if end, ok := ctx.Deadline(); ok {
		req.Header.Set(target.HeaderTimeout, strconv.FormatInt(max(1, time.Until(end).Milliseconds()), 10))
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return Sample{Refused: true, Reason: noReply}, errors.Wrap(err, "call host")
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return Sample{Refused: true}, errors.Wrap(err, "read answer")
	}
	if res.StatusCode != http.StatusOK {
		var d problem.Details
		if err := json.Unmarshal(text, &d); err != nil {
			return Sample{Refused: true, Reason: http.StatusText(res.StatusCode)}, nil
		}
		reason, _, _ := strings.Cut(d.Title+": "+d.Detail, ", expected wait")
		return Sample{Refused: true, Reason: reason}, nil
	}
	var a answer.Answer
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&a); err != nil {
		return Sample{Refused: true}, errors.Wrap(err, "decode answer")
	}
	return Sample{Complete: a.Coverage.Total > 0 && a.Coverage.Answered == a.Coverage.Total}, nil
}
