package limit

import "slices"

// maxSentIDs bounds the IDs that a connection remembers. A request is sent again within its
// timeout, in which a connection carries far fewer others.
const maxSentIDs = 256

// sentIDs holds hashes of the IDs of the latest sub-requests on a connection.
type sentIDs struct {
	ids []uint64
	// heads says for each of ids whether the method was HEAD.
	heads []bool
	// oldest is the index of the oldest ID once there are maxSentIDs.
	oldest int
}

// add adds an ID; 0 stands for none.
func (s *sentIDs) add(id uint64, head bool) {
	switch {
	case id == 0:
	case len(s.ids) < maxSentIDs:
		s.ids, s.heads = append(s.ids, id), append(s.heads, head)
	default:
		s.ids[s.oldest], s.heads[s.oldest] = id, head
		s.oldest = (s.oldest + 1) % maxSentIDs
	}
}

func (s *sentIDs) has(id uint64) bool { return slices.Contains(s.ids, id) }

// find reports whether the connection has carried the ID, and if so, whether the method was HEAD. A connection
// carries an ID with one method only.
func (s *sentIDs) find(id uint64) (head, ok bool) {
	i := slices.Index(s.ids, id)
	return i >= 0 && s.heads[i], i >= 0
}

// several reports whether the connection has carried several sub-requests, all with the same method as far as it matters
// for the end of a reply.
func (s *sentIDs) several() bool { return len(s.ids) > 1 && !slices.Contains(s.heads, !s.heads[0]) }
