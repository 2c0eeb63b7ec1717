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

// PathError reports a path that can't be edited.
type PathError struct {
	Path   []string
	Reason string
}

func (e *PathError) Error() string { return strings.Join(e.Path, ".") + ": " + e.Reason }

// Set returns the document with the field at path set to the JSON encoding of value. It
// creates absent objects along the path, and keeps the comments and the layout of everything
// else. It does not validate the result; call Parse for that. The error is a
// *document.FaultsError, a *PathError, or the error of encoding value.
func Set(text []byte, path []string, value any) ([]byte, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode the value")
	}
	v, err := document.Parse("value", data)
	if err != nil {
		return nil, err
	}
	return editField(text, path, func(o *hujson.Object, name string) error {
		if m := findMember(o, name); m != nil {
			m.Value.Value = v.Value
			return nil
		}
		appendMember(o, name, v.Value)
		return nil
	}, true)
}

// Delete returns the document without the field at path. It keeps comments outside the field,
// including those that describe it. The error is a *document.FaultsError or a *PathError; an
// absent field is a *PathError.
func Delete(text []byte, path []string) ([]byte, error) {
	return editField(text, path, func(o *hujson.Object, name string) error {
		i := slices.IndexFunc(o.Members, func(m hujson.ObjectMember) bool { return memberName(&m) == name })
		if i < 0 {
			return &PathError{path, "the field is absent"}
		}
		removeMember(o, i)
		return nil
	}, false)
}

// editField calls change with the object that contains the field at path, and with the name of
// that field. If create is true, it creates absent objects along the path.
func editField(text []byte, path []string, change func(*hujson.Object, string) error, create bool) ([]byte, error) {
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
		m := findMember(o, name)
		if m == nil {
			if !create {
				return nil, &PathError{path, "the field is absent"}
			}
			appendMember(o, name, &hujson.Object{})
			m = findMember(o, name)
		}
		v = &m.Value
	}
	return root.Pack(), nil
}

func memberName(m *hujson.ObjectMember) string { return m.Name.Value.(hujson.Literal).String() }

func findMember(o *hujson.Object, name string) *hujson.ObjectMember {
	for i := range o.Members {
		if memberName(&o.Members[i]) == name {
			return &o.Members[i]
		}
	}
	return nil
}

const whitespace = " \t\r\n"

// appendMember appends a member in the layout of the object. Text before the closing brace,
// such as a comment on the last member, stays in front of the new member.
func appendMember(o *hujson.Object, name string, v hujson.ValueTrimmed) {
	m := hujson.ObjectMember{
		Name:  hujson.Value{Value: hujson.String(name)},
		Value: hujson.Value{BeforeExtra: hujson.Extra(" "), Value: v},
	}
	extra := []byte(o.AfterExtra)
	before := bytes.TrimRight(extra, whitespace)
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
		separator = []byte("\n") // The line break ends a line comment.
	}
	m.Name.BeforeExtra = slices.Concat(before, separator)
	if i := bytes.LastIndexByte(closing, '\n'); i >= 0 {
		closing = closing[i:]
	}
	o.AfterExtra = slices.Clone(closing)
	if last := &o.Members[len(o.Members)-1]; last.Value.AfterExtra != nil {
		m.Value.AfterExtra = hujson.Extra{} // hujson writes a trailing comma if this is not nil.
	}
	o.Members = append(o.Members, m)
}

// removeMember deletes a member and keeps the comments around it.
func removeMember(o *hujson.Object, i int) {
	m := o.Members[i]
	comma := m.Value.AfterExtra != nil
	kept := m.Name.BeforeExtra
	if bytes.Contains(m.Value.AfterExtra, []byte("/")) {
		kept = joinExtras(kept, m.Value.AfterExtra)
	}
	last := i == len(o.Members)-1
	o.Members = slices.Delete(o.Members, i, i+1)
	if !last {
		next := &o.Members[i].Name
		next.BeforeExtra = joinExtras(kept, next.BeforeExtra)
		return
	}
	o.AfterExtra = joinExtras(kept, o.AfterExtra)
	if i == 0 {
		return
	}
	// The previous value becomes the last one. If its AfterExtra is not nil, hujson writes a
	// trailing comma after it.
	previous := &o.Members[i-1].Value
	switch {
	case comma && previous.AfterExtra == nil:
		previous.AfterExtra = hujson.Extra{}
	case !comma:
		o.AfterExtra = joinExtras(previous.AfterExtra, o.AfterExtra)
		previous.AfterExtra = nil
	}
}

// joinExtras returns the comments of a followed by b. It inserts a line break between them if b
// does not start with one, so that a line comment in a ends.
func joinExtras(a, b hujson.Extra) hujson.Extra {
	if !bytes.Contains(a, []byte("/")) {
		return b
	}
	a = bytes.TrimRight(a, whitespace)
	if bytes.HasPrefix(bytes.TrimLeft(b, " \t\r"), []byte("\n")) {
		return slices.Concat(a, b)
	}
	return slices.Concat(a, hujson.Extra("\n"), b)
}
