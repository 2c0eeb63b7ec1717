package inventory

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// Change is one difference between two documents.
type Change struct {
	// Field is the path of the field, with dots between names.
	Field string `json:"field"`
	// From and To are the values as text; empty stands for an absent field.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Diff returns the fields that differ between two validated documents, in the order of their
// paths. A validated document includes the defaults, so a field that is set to its default
// does not differ from an absent one. A nil document has no fields.
func Diff(a, b *Document) []Change {
	var changes []Change
	compareTrees("", jsonTree(a), jsonTree(b), &changes)
	return changes
}

// jsonTree returns the document as maps, arrays and scalars.
func jsonTree(d *Document) any {
	if d == nil {
		return nil
	}
	data, err := json.Marshal(d)
	if err != nil {
		// A validated document has only values that can be encoded as JSON.
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var v any
	if err := decoder.Decode(&v); err != nil {
		return nil
	}
	return v
}

func compareTrees(field string, a, b any, changes *[]Change) {
	from, isFrom := a.(map[string]any)
	to, isTo := b.(map[string]any)
	if isFrom && (isTo || b == nil) && len(from) > 0 || isTo && (isFrom || a == nil) && len(to) > 0 {
		names := maps.Clone(from)
		if names == nil {
			names = map[string]any{}
		}
		maps.Copy(names, to)
		for _, name := range slices.Sorted(maps.Keys(names)) {
			path := name
			if field != "" {
				path = field + "." + name
			}
			compareTrees(path, from[name], to[name], changes)
		}
		return
	}
	if x, y := valueText(a), valueText(b); x != y {
		*changes = append(*changes, Change{Field: field, From: x, To: y})
	}
}

// valueText returns a string unchanged, "" for an absent value, and the JSON encoding of any
// other value.
func valueText(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		data, err := json.Marshal(v)
		if err != nil {
			return ""
		}
		return string(data)
	}
}
