package journal

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

const identityFile = "identity"

// Identity identifies a member. A host that has lost its directory gets a new
// incarnation, so that the group does not treat it as the previous member.
type Identity struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// NewIdentity returns an identity of the host with a random incarnation.
func NewIdentity(host string) Identity {
	return Identity{Host: host, Incarnation: uuid.NewString()}
}

// String returns the identity as host/incarnation, the form that package consensus uses.
func (i Identity) String() string { return i.Host + "/" + i.Incarnation }

// ReadIdentity reads the identity file of a directory without opening the journal.
// ok is false if there is no such file. The error may be a *CorruptError.
func ReadIdentity(dir string) (identity Identity, ok bool, err error) {
	path := filepath.Join(dir, identityFile)
	text, err := ReadChecked(path)
	if errors.Is(err, os.ErrNotExist) {
		return Identity{}, false, nil
	}
	if err != nil {
		return Identity{}, false, errors.Wrap(err, "read identity")
	}
	if err := json.Unmarshal(text, &identity); err != nil {
		return Identity{}, false, &CorruptError{File: path, Reason: err.Error()}
	}
	if identity.Host == "" || identity.Incarnation == "" {
		return Identity{}, false, &CorruptError{File: path, Reason: "host or incarnation is missing"}
	}
	return identity, true, nil
}

// Identity returns the identity; ok is false if no identity has been written.
func (j *Journal) Identity() (identity Identity, ok bool) {
	return j.identity, j.identity != Identity{}
}

// WriteIdentity writes the identity of a new journal. It must be called before the
// first Save. The error is an *IdentityError if there is already an identity or the
// new one is incomplete.
func (j *Journal) WriteIdentity(identity Identity) error {
	if _, ok := j.Identity(); ok {
		return &IdentityError{Dir: j.dir, Reason: "the identity has already been written"}
	}
	if identity.Host == "" || identity.Incarnation == "" {
		return &IdentityError{Dir: j.dir, Reason: "host or incarnation is missing"}
	}
	text, err := json.Marshal(identity)
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}
	if err := j.writeFile(identityFile, withChecksum(append(text, '\n'))); err != nil {
		return err
	}
	j.identity = identity
	return nil
}
