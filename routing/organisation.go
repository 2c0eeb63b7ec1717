package routing

import (
	"crypto/rand"
	"crypto/sha256"
	"slices"
	"strings"
)

// Organisation is a customer whose callers present one of its keys.
type Organisation struct {
	Name string
	Keys []string
	// Rank, if set, takes precedence over Route.Priority for the requests of the organisation.
	Rank *int
}

func (o *Organisation) equal(other *Organisation) bool {
	sameRank := (o.Rank == nil) == (other.Rank == nil) && (o.Rank == nil || *o.Rank == *other.Rank)
	return sameRank && o.Name == other.Name && slices.Equal(o.Keys, other.Keys)
}

// checkOrganisations returns an *InvalidError if a name or a key is missing or not unique. The error
// names organisations but never a key.
func (d *Document) checkOrganisations() error {
	names, owners := map[string]bool{}, map[string]string{}
	for i := range d.Organisations {
		o := &d.Organisations[i]
		switch {
		case o.Name == "":
			return &InvalidError{Reason: "an organisation has no name"}
		case names[o.Name]:
			return &InvalidError{Organisation: o.Name, Reason: "another organisation has the same name"}
		case !isFieldValue(o.Name):
			return &InvalidError{Organisation: o.Name, Reason: "the name can't be the value of a header field"}
		}
		names[o.Name] = true
		for _, key := range o.Keys {
			owner, taken := owners[key]
			switch {
			case key == "":
				return &InvalidError{Organisation: o.Name, Reason: "a key is empty"}
			case taken && owner == o.Name:
				return &InvalidError{Organisation: o.Name, Reason: "it has a key twice"}
			case taken:
				return &InvalidError{Organisation: o.Name, Reason: "it shares a key with organisation " + owner}
			}
			owners[key] = o.Name
		}
	}
	return nil
}

// isFieldValue reports whether targets receive the text unchanged as the value of a header field.
func isFieldValue(text string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return strings.TrimSpace(text) == text && !strings.ContainsFunc(text, isControl)
}

const (
	saltSize = 16
	// inlineKeySize is the size of keys, in bytes, up to which a look-up allocates nothing.
	inlineKeySize = 128
)

// keyIndex finds organisations by key. It is immutable.
type keyIndex struct {
	// salt keeps callers from choosing keys by their digest: the time of a look-up depends only on the
	// digest and the length of the presented key, and says nothing about the keys of organisations.
	salt [saltSize]byte
	// keys holds the organisations by the digest of each of their keys.
	keys  map[[sha256.Size]byte]*Organisation
	names map[string]*Organisation
	// longest is the length of the longest key.
	longest int
}

func newKeyIndex(organisations []Organisation) *keyIndex {
	x := &keyIndex{keys: map[[sha256.Size]byte]*Organisation{}, names: map[string]*Organisation{}}
	_, _ = rand.Read(x.salt[:]) // never fails
	for i := range organisations {
		o := &organisations[i]
		x.names[o.Name] = o
		for _, key := range o.Keys {
			x.keys[x.digest(key)] = o
			x.longest = max(x.longest, len(key))
		}
	}
	return x
}

func (x *keyIndex) digest(key string) [sha256.Size]byte {
	var buffer [saltSize + inlineKeySize]byte
	salted := append(buffer[:0], x.salt[:]...)
	return sha256.Sum256(append(salted, key...))
}

// RequiresKeys reports whether callers need a key on routes that are not public.
func (t *Table) RequiresKeys() bool { return len(t.Document.Organisations) > 0 }

// Holder returns the organisation that holds a key, or nil if none does. The time that it takes does
// not depend on how much the key has in common with other keys.
func (t *Table) Holder(key string) *Organisation {
	if key == "" || len(key) > t.keys.longest {
		return nil
	}
	return t.keys.keys[t.keys.digest(key)]
}

// Organisation returns the organisation with the name, or nil if the document has none.
func (t *Table) Organisation(name string) *Organisation { return t.keys.names[name] }
