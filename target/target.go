// Package target is the interface between wasabirelay and targets: it serves announcements,
// renewals and leaves, expires silent targets, and defines the format of sub-requests.
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
	// HeaderTimeout is the remaining time for the sub-request, in milliseconds.
	HeaderTimeout = "Wasabi-Timeout"
	// HeaderRoute is the route of the query, if it has one.
	HeaderRoute = "Wasabi-Route"
	// HeaderReason is the reason why a target refused a sub-request with status 503. The
	// sub-request was not executed.
	HeaderReason = "Wasabi-Reason"
)

// Values of HeaderReason.
const (
	ReasonShed     = "shed"
	ReasonDraining = "draining"
	ReasonCold     = "cold"
	ReasonSnapshot = "snapshot"
)

// Reply is the body of a reply to a sub-request. End is the last member, so that a
// truncated body is detected.
type Reply struct {
	Request  string          `json:"request"`
	Shard    int             `json:"shard"`
	Snapshot uint64          `json:"snapshot"`
	Result   json.RawMessage `json:"result"`
	End      bool            `json:"end"`
}

// Cancel is the body of POST /cancel to a target.
type Cancel struct {
	Request string `json:"request"`
	Shard   int    `json:"shard"`
}

// AnnounceResponse is the response to an announcement.
type AnnounceResponse struct {
	// Renew is the time until the target must announce itself again. A target that does
	// not is removed after Expire.
	Renew  document.Duration `json:"renew"`
	Expire document.Duration `json:"expire"`
	// Addresses are the addresses of the entry hosts through which the target may renew.
	Addresses []string `json:"addresses"`
}
