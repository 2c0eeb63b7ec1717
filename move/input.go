package move

import (
	"wasabirelay/control"
)

// NewInput returns the input for the move of a service, based on the targets in the view.
func NewInput(v *control.View, service string) *Input {
	in := &Input{Record: v.Moves[service]}
	shardsHeld := map[control.Snapshot]map[int]bool{}
	for _, t := range v.Targets[service] {
		if t.Version != in.Record.Version {
			continue
		}
		in.Targets++
		in.ConnectCost = max(in.ConnectCost, t.ConnectCost.Duration)
		if t.State != control.Warm || v.Inventory != nil && v.Inventory.Centres[t.Centre].OutOfService {
			continue
		}
		for _, snapshot := range t.Snapshots {
			if shardsHeld[snapshot] == nil {
				shardsHeld[snapshot] = map[int]bool{}
			}
			for _, shard := range t.Shards {
				if shard >= 0 && shard < snapshot.Shards {
					shardsHeld[snapshot][shard] = true
				}
			}
		}
	}
	for snapshot, shards := range shardsHeld {
		in.Ready = in.Ready || snapshot.Shards > 0 && len(shards) == snapshot.Shards
	}
	return in
}
