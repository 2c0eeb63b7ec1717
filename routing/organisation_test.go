package routing

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against organisations that can't be told apart, against refusing valid ones, and against a key in an error,
// which the operator's tools may show or log.
func TestCheckOrganisations(t *testing.T) {
	const secret = "s3cret"
	rank := -1
	for _, tt := range []struct {
		name          string
		organisations []Organisation
		invalid       string // the organisation that the error names
	}{
		{"several keys, one, none", []Organisation{{"a", []string{secret, "k2"}, &rank}, {"b", []string{"k3"}, nil}, {"c", nil, nil}}, ""},
		{"key that is a name", []Organisation{{"a", []string{"b"}, nil}, {"b", []string{"a"}, nil}}, ""},
		{"shared key", []Organisation{{"a", []string{"k1", secret}, nil}, {"b", []string{secret}, nil}}, "b"},
		{"key twice", []Organisation{{"a", []string{secret, "k1", secret}, nil}}, "a"},
		{"empty key", []Organisation{{"a", []string{secret, ""}, nil}}, "a"},
		{"same name", []Organisation{{"a", []string{secret}, nil}, {"a", []string{"k1"}, nil}}, "a"},
		{"line break in the name", []Organisation{{"a\r\nX: y", []string{secret}, nil}}, "a\r\nX: y"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			err := document(func(d *Document) { d.Organisations = tt.organisations }).Check()
			if tt.invalid == "" {
				is.NoErr(err)
				return
			}
			var invalid *InvalidError
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Organisation, tt.invalid)
			is.True(!strings.Contains(err.Error(), secret))
			is.True(strings.Contains(err.Error(), "a")) // names the organisation
		})
	}
	is := is.New(t)
	is.True(document(func(d *Document) { d.Organisations = []Organisation{{}} }).Check() != nil)
}

// Guards against a key that is found for another organisation, a key that was withdrawn and still found, and a digest
// of all keys whenever a document changes nothing about them.
func TestHolder(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", 3*inlineKeySize)
	list := func() []Organisation {
		return []Organisation{{"a", []string{"k1", "k2"}, nil}, {"b", []string{long}, nil}}
	}
	first := NewTable(document(func(d *Document) { d.Organisations = list() }))
	is.Equal(first.Holder("k2").Name, "a")
	is.Equal(first.Holder(long).Name, "b")
	for _, unknown := range []string{"", "k", "k3", "K1", "k1 ", "a", long + "x", long[1:]} {
		is.Equal(first.Holder(unknown), nil)
	}
	is.Equal(first.Organisation("b").Keys, []string{long})

	same := first.Next(document(func(d *Document) { d.Organisations = list(); d.Routes = d.Routes[:1] }))
	is.Equal(same.keys, first.keys)
	is.Equal(len(same.Document.Routes), 1)
	next := same.Next(document(func(d *Document) { d.Organisations = list(); d.Organisations[0].Keys = []string{"k2", "k3"} }))
	is.Equal(next.Holder("k1"), nil)
	is.Equal(next.Holder("k3").Name, "a")
	ranked := next.Next(document(func(d *Document) { d.Organisations = list(); d.Organisations[0].Rank = new(int) }))
	is.Equal(*ranked.Holder("k1").Rank, 0)
	var none *Table
	is.True(!none.Next(document(nil)).RequiresKeys())
}

// many returns a table with 4,000 organisations of 2 keys each.
func many() (*Table, *Document) {
	d := document(func(d *Document) {
		for i := range 4000 {
			d.Organisations = append(d.Organisations, Organisation{Name: fmt.Sprint("o", i), Keys: []string{fmt.Sprint("key-number-", i), fmt.Sprint("other-key-", i)}})
		}
	})
	return NewTable(d), d
}

// Guards against allocations for each request.
func TestHolderAllocates(t *testing.T) {
	table, _ := many()
	is.New(t).Equal(testing.AllocsPerRun(100, func() {
		if table.Holder("key-number-77") == nil || table.Holder("key-number-4001") != nil {
			t.Error("wrong holder")
		}
	}), 0.0)
}

func BenchmarkHolder(b *testing.B) {
	table, _ := many()
	for name, key := range map[string]string{"known": "key-number-77", "unknown": "key-number-4001"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Holder(key)
			}
		})
	}
}

func BenchmarkNext(b *testing.B) {
	table, _ := many()
	_, same := many()
	_, changed := many()
	changed.Organisations[3999].Keys = nil
	for name, d := range map[string]*Document{"same": same, "changed": changed} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Next(d)
			}
		})
	}
}
