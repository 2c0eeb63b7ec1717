package limit

import "slices"

// maxSentIDs bounds the IDs that a connection remembers. A request is sent again within its
// timeout, in which a connection carries far fewer others.
const maxSentIDs = 256

// sentIDs holds hashes of the IDs of the latest sub-requests on a connection.
type sentIDs struct {
	ids []uint64
	// oldest is the index of the oldest ID once there are maxSentIDs.
	oldest int
}

// add adds an ID; 0 stands for none.
func (s *sentIDs) add(id uint64) {
	switch {
	case id == 0:
	case len(s.ids) < maxSentIDs:
		s.ids = append(s.ids, id)
	default:
		s.ids[s.oldest] = id
		s.oldest = (s.oldest + 1) % maxSentIDs
	}
}

func (s *sentIDs) has(id uint64) bool { return slices.Contains(s.ids, id) }
