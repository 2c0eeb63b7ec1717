package target

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const announcement = `{"target":"od-1","incarnation":"i1","service":"order-desk","version":"v1","centre":"huonville",
	"address":"127.0.0.1:7401","shards":[2,1],"snapshots":[{"number":8,"shards":3},{"number":7,"shards":3}],
	"slots":2,"connections":25,"connect":"6ms","state":"warm","cancel":true}`

// Guards against announcements that are accepted although they are not fully understood:
// the refusal must name the misspelt or invalid field.
func TestDecodeNamesTheField(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, field string }{
		{"valid", "", "", ""},
		{"not JSON", `"state"`, `state`, "body"},
		{"comment", `"slots"`, `/* two */ "slots"`, "body"},
		{"unknown field", `"slots":2`, `"slot":2`, "slot"},
		{"field in another case", `"slots":2`, `"Slots":2`, "Slots"},
		{"repeated field", `"slots":2`, `"slots":2,"slots":3`, "slots"},
		{"unknown field inside", `"number":7,`, `"number":7,"size":1,`, "snapshots.1.size"},
		{"wrong type", `"slots":2`, `"slots":"2"`, "slots"},
		{"no name", `"target":"od-1",`, ``, "target"},
		{"no incarnation", `"i1"`, `""`, "incarnation"},
		{"no address", `"127.0.0.1:7401"`, `"huonville:7401"`, "address"},
		{"port 0", `7401`, `0`, "address"},
		{"no shards", `[2,1]`, `[]`, "shards"},
		{"repeated shard", `[2,1]`, `[1,1]`, "shards"},
		{"shard out of range", `[2,1]`, `[3]`, "shards"},
		{"repeated snapshot", `"number":7`, `"number":8`, "snapshots"},
		{"empty snapshot", `{"number":7,"shards":3}`, `{"number":7,"shards":0}`, "snapshots"},
		{"negative slots", `"slots":2`, `"slots":-2`, "slots"},
		{"negative cost", `6ms`, `-6ms`, "connect"},
		{"no duration", `"6ms"`, `6`, "connect"},
		{"unknown state", `"warm"`, `"hot"`, "state"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, refusal := Decode([]byte(strings.Replace(announcement, c.old, c.replacement, 1)))
			if c.field == "" {
				is.True(refusal == nil)
				is.Equal(got.Shards, []int{1, 2}) // Sorted, so that announcements with the same content are equal.
				is.Equal(got.Snapshots[0].Number, uint64(7))
				return
			}
			is.True(refusal != nil)
			is.Equal(refusal.Field, c.field)
			is.Equal(refusal.Status, 400)
		})
	}
}

// Guards against panics, and against accepted announcements that change when they are
// encoded as JSON for the log.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(announcement))
	f.Add([]byte(`{"shards":[null],"snapshots":{},"connect":"1h"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		first, refusal := Decode(text)
		if refusal != nil {
			if refusal.Field == "" {
				t.Fatal("refusal without a field")
			}
			return
		}
		again, err := json.Marshal(first)
		if err != nil {
			t.Fatal(err)
		}
		second, refusal := Decode(again)
		if refusal != nil || !reflect.DeepEqual(first, second) {
			t.Fatalf("%s changed to %s: %v", text, again, refusal)
		}
	})
}
