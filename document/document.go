// Package document decodes JSON with comments into Go values. It reports each fault with its
// file, line and field, and with what is allowed there.
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

// Duration is a time.Duration that is encoded as a string such as "82ms".
type Duration struct{ time.Duration }

// MarshalText encodes the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.New(`a duration such as "82ms" or "5s"`)
	}
	d.Duration = v
	return nil
}

// Fault is one invalid value, name or syntax element in a document.
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

// maxFaults bounds the faults that are recorded for a document. Locating each fault takes a
// pass over the text: 100,000 faults in 2 MiB took 87 s, which would block the replicated state.
const maxFaults = 200

// FaultsError has the faults of a document in the order of their lines. It is limited to the
// first 200 faults found.
type FaultsError struct{ Faults []Fault }

func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Source is a parsed document. It records faults with their positions.
type Source struct {
	name   string
	text   []byte
	root   hujson.Value
	faults []Fault
}

// Read parses text and decodes it into the struct that into points to. Unknown names,
// repeated names and values of the wrong type are faults. The returned Source is nil only for
// a syntax error.
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

// Require records a fault at the field with the given path, unless ok is true. If the field is
// absent, the position is that of its closest ancestor.
func (s *Source) Require(ok bool, allowed string, path ...string) {
	if ok || len(s.faults) >= maxFaults {
		return
	}
	v, offset := s.find(path)
	s.addFault(path, offset, v, allowed)
}

// Err returns a *FaultsError with the recorded faults, or nil if there are none.
func (s *Source) Err() error {
	if len(s.faults) == 0 {
		return nil
	}
	sort.SliceStable(s.faults, func(i, j int) bool { return s.faults[i].Line < s.faults[j].Line })
	return &FaultsError{s.faults}
}

func (s *Source) addFault(path []string, offset int, value, allowed string) {
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

// find returns the text and the offset of the value at path. For an absent value it returns
// the text "nothing" and the offset of the closest ancestor.
func (s *Source) find(path []string) (string, int) {
	v := &s.root
	for i := range path {
		next := v.Find("/" + escapePointer(path[i]))
		if next == nil {
			return "nothing", v.StartOffset
		}
		v = next
	}
	return abbreviate(v), v.StartOffset
}

var escapePointer = strings.NewReplacer("~", "~0", "/", "~1").Replace

// maxValueLength is the number of bytes of an invalid value that an error quotes.
const maxValueLength = 60

func abbreviate(v *hujson.Value) string {
	c := v.Clone()
	c.Minimize()
	text := strings.TrimSpace(string(c.Pack()))
	if len(text) > maxValueLength {
		text = text[:maxValueLength] + "..."
	}
	return text
}

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

// check records a fault for each part of v that can't be decoded into the Go type t.
func (s *Source) check(v *hujson.Value, t reflect.Type, path []string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(textUnmarshalerType) {
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
		s.addFault(path, v.StartOffset, abbreviate(v), "a string")
		return
	}
	into := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := into.UnmarshalText([]byte(l.String())); err != nil {
		s.addFault(path, v.StartOffset, abbreviate(v), err.Error())
	}
}

func (s *Source) checkObject(v *hujson.Value, path []string, member func(string) (reflect.Type, string)) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		s.addFault(path, v.StartOffset, abbreviate(v), "an object")
		return
	}
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		at := slices.Concat(path, []string{name})
		if seen[name] {
			s.addFault(at, m.Name.StartOffset, "a repeated name", "each name once")
			continue
		}
		seen[name] = true
		t, allowed := member(name)
		if t == nil {
			s.addFault(at, m.Name.StartOffset, "an unknown name", allowed)
			continue
		}
		s.check(&m.Value, t, at)
	}
}

func (s *Source) checkArray(v *hujson.Value, element reflect.Type, path []string) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		s.addFault(path, v.StartOffset, abbreviate(v), "an array")
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
	s.addFault(path, v.StartOffset, abbreviate(v), scalarRequirement(t.Kind()))
}

func scalarRequirement(k reflect.Kind) string {
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

// fieldType returns the type of the struct field with the JSON name. If there is none, it
// returns nil and the allowed names.
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
