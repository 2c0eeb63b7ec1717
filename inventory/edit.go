package inventory

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"wasabirelay/document"
)

// PathError is a path that can't be edited.
type PathError struct {
	Path   []string
	Reason string
}

func (e *PathError) Error() string { return strings.Join(e.Path, ".") + ": " + e.Reason }

// Set returns the document with the field at path set to the JSON form of value.
// Objects on the way that are absent are created. Comments and the layout of the
// rest are kept. The result is not checked: Parse does that. The error is a
// *document.FaultsError or a *PathError.
func Set(text []byte, path []string, value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode the value")
	}
	v, err := document.Parse("value", data)
	if err != nil {
		return nil, err
	}
	return edit(text, path, func(o *hujson.Object, name string) error {
		if m := member(o, name); m != nil {
			m.Value.Value = v.Value
			return nil
		}
		insert(o, name, v.Value)
		return nil
	}, true)
}

// Delete returns the document without the field at path. Comments outside the
// field are kept, also those that describe it. The error is a
// *document.FaultsError or a *PathError, which also reports an absent field.
func Delete(text []byte, path []string) ([]byte, error) {
	return edit(text, path, func(o *hujson.Object, name string) error {
		i := slices.IndexFunc(o.Members, func(m hujson.ObjectMember) bool { return nameOf(&m) == name })
		if i < 0 {
			return &PathError{path, "the field is absent"}
		}
		remove(o, i)
		return nil
	}, false)
}

// edit calls change for the object that holds the last element of the path.
func edit(text []byte, path []string, change func(*hujson.Object, string) error, create bool) ([]byte, error) {
	root, err := document.Parse("inventory", text)
	if err != nil {
		return nil, err
	}
	if len(path) == 0 {
		return nil, &PathError{path, "a field is needed"}
	}
	v := &root
	for i, name := range path {
		o, ok := v.Value.(*hujson.Object)
		if !ok {
			return nil, &PathError{path[:i], "it is not an object"}
		}
		if i == len(path)-1 {
			if err := change(o, name); err != nil {
				return nil, err
			}
			break
		}
		m := member(o, name)
		if m == nil {
			if !create {
				return nil, &PathError{path, "the field is absent"}
			}
			insert(o, name, &hujson.Object{})
			m = member(o, name)
		}
		v = &m.Value
	}
	return root.Pack(), nil
}

func nameOf(m *hujson.ObjectMember) string { return m.Name.Value.(hujson.Literal).String() }

func member(o *hujson.Object, name string) *hujson.ObjectMember {
	for i := range o.Members {
		if nameOf(&o.Members[i]) == name {
			return &o.Members[i]
		}
	}
	return nil
}

const space = " \t\r\n"

// insert appends a member in the layout of the object. What stands before the
// closing brace, such as the comment of the last member, stays before the new one.
func insert(o *hujson.Object, name string, v hujson.ValueTrimmed) {
	m := hujson.ObjectMember{
		Name:  hujson.Value{Value: hujson.String(name)},
		Value: hujson.Value{BeforeExtra: hujson.Extra(" "), Value: v},
	}
	extra := []byte(o.AfterExtra)
	before := bytes.TrimRight(extra, space)
	closing := extra[len(before):]
	if len(o.Members) == 0 {
		m.Name.BeforeExtra = extra
		o.AfterExtra = nil
		if i := bytes.LastIndexByte(extra, '\n'); i >= 0 {
			m.Name.BeforeExtra = slices.Concat(extra, []byte("  "))
			o.AfterExtra = slices.Clone(extra[i:])
		}
		o.Members = append(o.Members, m)
		return
	}
	first := []byte(o.Members[0].Name.BeforeExtra)
	separator := []byte(" ")
	if i := bytes.LastIndexByte(first, '\n'); i >= 0 {
		separator = first[i:]
	} else if bytes.Contains(closing, []byte("\n")) {
		separator = []byte("\n") // It ends a line comment.
	}
	m.Name.BeforeExtra = slices.Concat(before, separator)
	if i := bytes.LastIndexByte(closing, '\n'); i >= 0 {
		closing = closing[i:]
	}
	o.AfterExtra = slices.Clone(closing)
	if last := &o.Members[len(o.Members)-1]; last.Value.AfterExtra != nil {
		m.Value.AfterExtra = hujson.Extra{} // A trailing comma.
	}
	o.Members = append(o.Members, m)
}

// remove deletes a member and keeps the comments around it.
func remove(o *hujson.Object, i int) {
	m := o.Members[i]
	comma := m.Value.AfterExtra != nil
	kept := m.Name.BeforeExtra
	if bytes.Contains(m.Value.AfterExtra, []byte("/")) {
		kept = join(kept, m.Value.AfterExtra)
	}
	last := i == len(o.Members)-1
	o.Members = slices.Delete(o.Members, i, i+1)
	if !last {
		next := &o.Members[i].Name
		next.BeforeExtra = join(kept, next.BeforeExtra)
		return
	}
	o.AfterExtra = join(kept, o.AfterExtra)
	if i == 0 {
		return
	}
	// The value before is the last one now; a text after it means a trailing comma.
	previous := &o.Members[i-1].Value
	switch {
	case comma && previous.AfterExtra == nil:
		previous.AfterExtra = hujson.Extra{}
	case !comma:
		o.AfterExtra = join(previous.AfterExtra, o.AfterExtra)
		previous.AfterExtra = nil
	}
}

// join returns the comments of a before b, on a line of their own if needed.
func join(a, b hujson.Extra) hujson.Extra {
	if !bytes.Contains(a, []byte("/")) {
		return b
	}
	a = bytes.TrimRight(a, space)
	if bytes.HasPrefix(bytes.TrimLeft(b, " \t\r"), []byte("\n")) {
		return slices.Concat(a, b)
	}
	return slices.Concat(a, hujson.Extra("\n"), b)
}
