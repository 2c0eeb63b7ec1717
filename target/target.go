// Package target is the interface between wasabirelay and targets: announcement,
// renewal and leave, and the form of a sub-request.
package target

import (
	"encoding/json"

	"wasabirelay/document"
)

// Headers of a sub-request.
const (
	HeaderRequest  = "Wasabi-Request"
	HeaderShard    = "Wasabi-Shard"
	HeaderSnapshot = "Wasabi-Snapshot"
	// HeaderTimeout is the time that is left, in milliseconds.
	HeaderTimeout = "Wasabi-Timeout"
	// HeaderRoute is the route of the query, if it has one.
	HeaderRoute = "Wasabi-Route"
	// HeaderReason is why a target refused a sub-request with status 503. Such a
	// sub-request was not run.
	HeaderReason = "Wasabi-Reason"
)

// Values of HeaderReason.
const (
	ReasonShed     = "shed"
	ReasonDraining = "draining"
	ReasonCold     = "cold"
	ReasonSnapshot = "snapshot"
)

// Reply is the body of a reply to a sub-request. End is the last member, so that
// a body that was cut short is recognized.
type Reply struct {
	Request  string          `json:"request"`
	Shard    int             `json:"shard"`
	Snapshot uint64          `json:"snapshot"`
	Result   json.RawMessage `json:"result"`
	End      bool            `json:"end"`
}

// Cancel is the body of POST /cancel on a target.
type Cancel struct {
	Request string `json:"request"`
	Shard   int    `json:"shard"`
}

// AnnounceResponse is the reply to an announcement.
type AnnounceResponse struct {
	// Renew is when to announce again; after Expire without it the target is removed.
	Renew  document.Duration `json:"renew"`
	Expire document.Duration `json:"expire"`
	// Addresses are the entry hosts through which the target may renew.
	Addresses []string `json:"addresses"`
}
