// Package document reads JSON with comments into Go values and reports every
// fault with its file, line, field and what is allowed there.
package document

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Duration is a time.Duration that is written as a string such as "82ms".
type Duration struct{ time.Duration }

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads the duration in Go's notation.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.New(`a duration such as "82ms" or "5s"`)
	}
	d.Duration = v
	return nil
}

// Fault is one mistake in a document.
type Fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Field is the path of the field, with dots between names.
	Field   string `json:"field"`
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed"`
}

func (f Fault) String() string {
	s := fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Field)
	if f.Value != "" {
		s += ": got " + f.Value
	}
	return s + ", allowed: " + f.Allowed
}

// maxFaults bounds the faults of a document. The place of each is found by a pass
// over the text: 100,000 faults in 2 MiB took 87 s, which would hold up the
// replicated state.
const maxFaults = 200

// FaultsError holds the faults of a document, in the order of their lines. It
// holds every fault if there are fewer than 200.
type FaultsError struct{ Faults []Fault }

func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Source is a parsed document. It collects faults with their positions.
type Source struct {
	name   string
	text   []byte
	root   hujson.Value
	faults []Fault
}

// Read parses text and decodes it into the struct that into points to. Unknown
// names, repeated names and values of the wrong type become faults, which Err
// reports. A nil Source is returned only with a syntax error.
func Read(name string, text []byte, into any) (*Source, error) {
	s := &Source{name: name, text: text}
	root, err := Parse(name, text)
	if err != nil {
		return nil, err
	}
	s.root = root
	s.check(&s.root, reflect.TypeOf(into).Elem(), nil)
	if len(s.faults) > 0 {
		return s, s.Err()
	}
	plain := root.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), into); err != nil {
		return s, errors.Wrapf(err, "decode %s", name)
	}
	return s, nil
}

// Require records a fault at the field, given as path elements, unless ok. If
// the field is absent, the position is that of its closest parent.
func (s *Source) Require(ok bool, allowed string, path ...string) {
	if ok || len(s.faults) >= maxFaults {
		return
	}
	v, offset := s.find(path)
	s.add(path, offset, v, allowed)
}

// Err returns a *FaultsError with the faults found so far, or nil.
func (s *Source) Err() error {
	if len(s.faults) == 0 {
		return nil
	}
	sort.SliceStable(s.faults, func(i, j int) bool { return s.faults[i].Line < s.faults[j].Line })
	return &FaultsError{s.faults}
}

func (s *Source) add(path []string, offset int, value, allowed string) {
	if len(s.faults) >= maxFaults {
		return
	}
	line := 1 + bytes.Count(s.text[:offset], []byte("\n"))
	column := offset - bytes.LastIndexByte(s.text[:offset], '\n')
	field := strings.Join(path, ".")
	if field == "" {
		field = "(document)"
	}
	s.faults = append(s.faults, Fault{
		File: s.name, Line: line, Column: column, Field: field, Value: value, Allowed: allowed,
	})
}

// find returns the text and the offset of the value at path. An absent value
// has the text "nothing" and the offset of its closest parent.
func (s *Source) find(path []string) (string, int) {
	v := &s.root
	for i := range path {
		next := v.Find("/" + escape(path[i]))
		if next == nil {
			return "nothing", v.StartOffset
		}
		v = next
	}
	return brief(v), v.StartOffset
}

var escape = strings.NewReplacer("~", "~0", "/", "~1").Replace

// briefLength bounds how much of a wrong value an error repeats.
const briefLength = 60

func brief(v *hujson.Value) string {
	c := v.Clone()
	c.Minimize()
	text := strings.TrimSpace(string(c.Pack()))
	if len(text) > briefLength {
		text = text[:briefLength] + "..."
	}
	return text
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// check compares a parsed value with the Go type that it is decoded into.
func (s *Source) check(v *hujson.Value, t reflect.Type, path []string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(textType) {
		s.checkText(v, t, path)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		s.checkObject(v, path, func(name string) (reflect.Type, string) { return fieldType(t, name) })
	case reflect.Map:
		s.checkObject(v, path, func(string) (reflect.Type, string) { return t.Elem(), "" })
	case reflect.Slice:
		s.checkArray(v, t.Elem(), path)
	case reflect.Interface:
	default:
		s.checkScalar(v, t, path)
	}
}

func (s *Source) checkText(v *hujson.Value, t reflect.Type, path []string) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		s.add(path, v.StartOffset, brief(v), "a string")
		return
	}
	into := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := into.UnmarshalText([]byte(l.String())); err != nil {
		s.add(path, v.StartOffset, brief(v), err.Error())
	}
}

func (s *Source) checkObject(v *hujson.Value, path []string, member func(string) (reflect.Type, string)) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		s.add(path, v.StartOffset, brief(v), "an object")
		return
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		at := slices.Concat(path, []string{name})
		if seen[name] {
			s.add(at, m.Name.StartOffset, "a repeated name", "each name once")
			continue
		}
		seen[name] = true
		t, allowed := member(name)
		if t == nil {
			s.add(at, m.Name.StartOffset, "an unknown name", allowed)
			continue
		}
		s.check(&m.Value, t, at)
	}
}

func (s *Source) checkArray(v *hujson.Value, element reflect.Type, path []string) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		s.add(path, v.StartOffset, brief(v), "an array")
		return
	}
	for i := range a.Elements {
		s.check(&a.Elements[i], element, slices.Concat(path, []string{fmt.Sprint(i)}))
	}
}

func (s *Source) checkScalar(v *hujson.Value, t reflect.Type, path []string) {
	into := reflect.New(t)
	c := v.Clone()
	c.Standardize()
	if l, ok := v.Value.(hujson.Literal); ok && l.Kind() != 'n' && json.Unmarshal(c.Pack(), into.Interface()) == nil {
		return
	}
	s.add(path, v.StartOffset, brief(v), scalarName(t.Kind()))
}

func scalarName(k reflect.Kind) string {
	switch k {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number that is not negative"
	default:
		return "a whole number"
	}
}

// fieldType returns the type of the struct field with the JSON name, or nil and
// the names that are allowed.
func fieldType(t reflect.Type, name string) (reflect.Type, string) {
	var names []string
	for f := range t.Fields() {
		tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if tag == name {
			return f.Type, ""
		}
		names = append(names, tag)
	}
	return nil, strings.Join(names, ", ")
}

func syntaxPosition(err error) (line, column int) {
	// hujson starts its syntax errors with "hujson: line L, column C:".
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return 1, 1
	}
	return line, column
}

func syntaxText(err error) string {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if _, after, ok := strings.Cut(text, ": "); ok {
		return after
	}
	return text
}
