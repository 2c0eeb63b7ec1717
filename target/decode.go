package target

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"wasabirelay/control"
	"wasabirelay/document"
	"wasabirelay/problem"
)

const nonNegative = "0 or more"

// Decode decodes and validates an announcement. Fields that are unknown, repeated or of the
// wrong type are refused. Shards and snapshots are sorted, so that two announcements with
// the same content are equal.
func Decode(text []byte) (*control.Target, *problem.Details) {
	var t control.Target
	if refusal := DecodeStrict("announce", text, &t); refusal != nil {
		return nil, refusal
	}
	if refusal := Check(&t); refusal != nil {
		return nil, refusal
	}
	t.Home, t.Since = "", time.Time{} // Set by the host and by the state machine.
	slices.Sort(t.Shards)
	slices.SortFunc(t.Snapshots, func(a, b control.Snapshot) int { return cmp.Compare(a.Number, b.Number) })
	return &t, nil
}

// DecodeStrict decodes a JSON object into the struct that into points to. The refusal
// names the first field that is unknown, repeated or of the wrong type, or "body".
func DecodeStrict(name string, text []byte, into any) *problem.Details {
	if !json.Valid(text) { // document.Read also accepts comments, which JSON does not allow.
		return problem.BadField("body", "the body must be one JSON object")
	}
	_, err := document.Read(name, text, into)
	var faults *document.FaultsError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &faults):
		return problem.BadField(faults.Faults[0].Field, err.Error())
	default:
		return problem.BadField("body", err.Error())
	}
}

// Check validates an announcement. It returns a refusal that names the first invalid field,
// or nil.
func Check(t *control.Target) *problem.Details {
	for _, f := range []struct {
		ok             bool
		field, allowed string
	}{
		{t.Name != "", "target", "a name is needed"},
		{t.Incarnation != "", "incarnation", "an identity of this run of the process is needed"},
		{t.Service != "", "service", "a service is needed"},
		{t.Version != "", "version", "a version is needed"},
		{t.Centre != "", "centre", "a data centre is needed"},
		{t.Address.IsValid() && t.Address.Port() != 0, "address", "an IP address with a port is needed"},
		{len(t.Snapshots) > 0, "snapshots", "at least one snapshot is needed"},
		{distinctSnapshots(t.Snapshots), "snapshots", "each snapshot once, with a number and a number of shards above 0"},
		{len(t.Shards) > 0, "shards", "at least one shard is needed"},
		{validShards(t), "shards", "each shard once, from 0 to below the number of shards of a snapshot"},
		{t.Slots >= 0, "slots", nonNegative},
		{t.Connections >= 0, "connections", nonNegative},
		{t.ColdLimit >= 0, "bears", nonNegative},
		{t.ConnectCost.Duration >= 0, "connect", "a duration that is not negative"},
		{t.State == control.Cold || t.State == control.Warm || t.State == control.Draining, "state", "cold, warm or draining"},
	} {
		if !f.ok {
			return problem.BadField(f.field, f.allowed)
		}
	}
	return nil
}

func distinctSnapshots(list []control.Snapshot) bool {
	seen := map[uint64]bool{}
	for _, s := range list {
		if s.Number == 0 || s.Shards <= 0 || seen[s.Number] {
			return false
		}
		seen[s.Number] = true
	}
	return true
}

func validShards(t *control.Target) bool {
	maxShards := 0
	for _, s := range t.Snapshots {
		maxShards = max(maxShards, s.Shards)
	}
	seen := map[int]bool{}
	for _, n := range t.Shards {
		if n < 0 || n >= maxShards || seen[n] {
			return false
		}
		seen[n] = true
	}
	return true
}
