package registry

import (
	"fmt"
	"time"
)

const (
	// maxClockSkew is how far the clock of a target may be ahead of that of this host.
	maxClockSkew = time.Hour
	// maxCold bounds how long a target can be cold.
	maxCold = time.Hour
	// maxSlots bounds the number of requests that a target can run at the same time.
	maxSlots = 1 << 20
	// maxSequence is the largest number that every writer of JSON can represent.
	maxSequence = 1 << 53
)

// InvalidError reports an announcement that no target can have made.
type InvalidError struct {
	// Field is the field of Announcement that is invalid.
	Field string
	Value any
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid announcement: %s is %v", e.Field, e.Value)
}

// Check returns an *InvalidError if no target can have made the announcement at the given time.
// Such an announcement would hide the later ones of the target whose name it bears.
func (a *Announcement) Check(now time.Time) error {
	for _, f := range []struct {
		ok    bool
		field string
		value any
	}{
		{a.Target != "", "Target", a.Target},
		{a.StartUnixMilli >= 0 && a.StartUnixMilli <= now.Add(maxClockSkew).UnixMilli(), "StartUnixMilli", a.StartUnixMilli},
		{a.Sequence <= maxSequence, "Sequence", a.Sequence},
		{a.State == Gone || a.Service != "", "Service", a.Service},
		{a.State == Gone || a.Address.Port() != 0 && !a.Address.Addr().IsUnspecified(), "Address", a.Address},
		{a.Slots >= 0 && a.Slots <= maxSlots, "Slots", a.Slots},
		{a.ColdRemaining >= 0 && a.ColdRemaining <= maxCold, "ColdRemaining", a.ColdRemaining},
	} {
		if !f.ok {
			return &InvalidError{f.field, f.value}
		}
	}
	return nil
}
