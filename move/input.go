package move

import (
	"wasabirelay/control"
)

// NewInput returns the input for the move of a service, based on the targets in the view.
func NewInput(v *control.View, service string) *Input {
	in := &Input{Record: v.Moves[service]}
	held := map[control.Snapshot]map[int]bool{}
	for _, t := range v.Targets[service] {
		if t.Version != in.Record.Version {
			continue
		}
		in.Targets++
		in.ConnectCost = max(in.ConnectCost, t.ConnectCost.Duration)
		if t.State != control.Warm || v.Inventory != nil && v.Inventory.Centres[t.Centre].Out {
			continue
		}
		for _, n := range t.Snapshots {
			if held[n] == nil {
				held[n] = map[int]bool{}
			}
			for _, shard := range t.Shards {
				if shard >= 0 && shard < n.Shards {
					held[n][shard] = true
				}
			}
		}
	}
	for n, shards := range held {
		in.Ready = in.Ready || n.Shards > 0 && len(shards) == n.Shards
	}
	return in
}
