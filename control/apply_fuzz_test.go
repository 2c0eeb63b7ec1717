package control_test

import (
	"encoding/json"
	"testing"

	"wasabirelay/control"
)

// Guards against a command that crashes every replica or leads to a state that cannot be
// encoded.
func FuzzApply(f *testing.F) {
	for _, c := range []control.Command{
		change(0, "c1", "ann", `"moves": {"order-desk": {"version": "v2", "by": "2026-12-04T18:00:00Z"}}`),
		target("t1", "a", control.Warm, []int{0}, control.Snapshot{Number: 1, Shards: 2}),
		{Move: &control.StepMove{Service: "order-desk", Version: "v2", Step: "trial", Share: 0.5}},
		{Suspect: &control.SuspectRequest{Fingerprint: "f", Target: "t1", Incarnation: "a"}},
		{Grant: &control.AcquireGrant{Name: "g", Limit: 1, Amount: 1, Holder: "h1", Term: 1}},
	} {
		c.At = start
		data, err := json.Marshal(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var c control.Command
		if json.Unmarshal(data, &c) != nil {
			return
		}
		var r, other replica
		r.do(0, change(0, "c0", "ann", ""))
		r.Apply(2, c)
		r.Apply(3, c)
		out, err := r.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := other.Restore(out); err != nil || other.Digest() != r.Digest() {
			t.Fatalf("the state differs after a restore: %v", err)
		}
	})
}
