package consensus

import "sort"

// batchBytes limits the payload of an Append message. A larger entry is sent in a
// message of its own.
const batchBytes = 1 << 20

// position is the index and term of a log entry.
type position struct{ index, term uint64 }

// indexedMembers is a configuration and the index from which it applies.
type indexedMembers struct {
	index   uint64
	members Members
}

// raftLog is the log of one member in memory: the entries after base, the newest
// snapshot (at or after base), the configuration at the snapshot and later ones.
type raftLog struct {
	base     position
	entries  []Entry
	snapshot *Snapshot
	configs  []indexedMembers
}

func newRaftLog(saved SavedState) (*raftLog, error) {
	l := &raftLog{configs: []indexedMembers{{}}}
	if saved.Snapshot != nil {
		l.reset(saved.Snapshot)
	}
	for _, e := range saved.Entries {
		switch {
		case e.Index != l.last().index+1:
			return nil, &SavedStateError{Index: e.Index, Reason: "does not follow the entry before it"}
		case e.Term < l.last().term:
			return nil, &SavedStateError{Index: e.Index, Reason: "has a smaller term than the entry before it"}
		case (e.Kind == Configuration) != (e.Members != nil):
			return nil, &SavedStateError{Index: e.Index, Reason: "the kind of the entry does not match its content"}
		}
		l.append(e)
	}
	if l.last().term > saved.Hard.Term {
		return nil, &SavedStateError{Index: l.last().index, Reason: "has a larger term than the hard state"}
	}
	return l, nil
}

// reset replaces the complete log with a snapshot.
func (l *raftLog) reset(s *Snapshot) {
	l.base = position{s.Index, s.Term}
	l.entries = nil
	l.snapshot = s
	l.configs = []indexedMembers{{s.Index, s.Members.clone()}}
}

func (l *raftLog) last() position {
	if k := len(l.entries); k > 0 {
		return position{l.entries[k-1].Index, l.entries[k-1].Term}
	}
	return l.base
}

// term returns the term at index; ok is false outside the log.
func (l *raftLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.base.index:
		return l.base.term, true
	case index < l.base.index || index > l.last().index:
		return 0, false
	}
	return l.entries[index-l.base.index-1].Term, true
}

func (l *raftLog) matches(p position) bool {
	term, ok := l.term(p.index)
	return ok && term == p.term
}

// upToDate reports whether a log that ends at p is at least as up to date as this one,
// which is the condition for a vote.
func (l *raftLog) upToDate(p position) bool {
	last := l.last()
	return p.term > last.term || p.term == last.term && p.index >= last.index
}

// append adds an entry at the end.
func (l *raftLog) append(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == Configuration {
		l.configs = append(l.configs, indexedMembers{e.Index, e.Members.clone()})
	}
}

// truncate removes the entry at index and all later ones. It also limits the
// capacity of the slice, so that later appends do not overwrite entries that
// outputs and messages still refer to.
func (l *raftLog) truncate(index uint64) {
	k := index - l.base.index - 1
	l.entries = l.entries[:k:k]
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= index {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// firstConflict returns the offset in entries of the first one that the log lacks
// or has with another term; ok is false if there is none.
func (l *raftLog) firstConflict(entries []Entry) (at int, ok bool) {
	for i, e := range entries {
		if e.Index > l.base.index && !l.matches(position{e.Index, e.Term}) {
			return i, true
		}
	}
	return 0, false
}

// between returns the entries between the two indexes, inclusive.
func (l *raftLog) between(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	return l.entries[from-l.base.index-1 : to-l.base.index : to-l.base.index]
}

// batch returns at most count entries starting at index from, limited by batchBytes.
func (l *raftLog) batch(from uint64, count int) []Entry {
	list := l.between(from, min(l.last().index, from+uint64(count)-1))
	size := 0
	for i, e := range list {
		size += len(e.Data)
		if size > batchBytes && i > 0 {
			return list[:i:i]
		}
	}
	return list
}

// lastPossibleMatch returns the largest position at or before index whose term is not
// larger than term. Terms never decrease along a log, so all entries between it and
// index conflict with a log that has term at index. This skips all entries of a
// conflicting term in one step.
func (l *raftLog) lastPossibleMatch(index, term uint64) position {
	index = min(index, l.last().index)
	if index < l.base.index {
		return position{index: index}
	}
	k := sort.Search(int(index-l.base.index), func(i int) bool { return l.entries[i].Term > term })
	if k == 0 {
		return l.base
	}
	return position{l.entries[k-1].Index, l.entries[k-1].Term}
}

func (l *raftLog) members() indexedMembers { return l.configs[len(l.configs)-1] }

func (l *raftLog) membersAt(index uint64) Members {
	k := sort.Search(len(l.configs), func(i int) bool { return l.configs[i].index > index })
	return l.configs[max(k, 1)-1].members
}

// compact records a snapshot at index and drops the entries more than trailing
// below it.
func (l *raftLog) compact(index uint64, state []byte, trailing uint64) {
	term, _ := l.term(index)
	members := l.membersAt(index).clone()
	l.snapshot = &Snapshot{Index: index, Term: term, Members: members, Data: state}
	retained := []indexedMembers{{index, members}}
	for _, c := range l.configs {
		if c.index > index {
			retained = append(retained, c)
		}
	}
	l.configs = retained
	if index <= l.base.index+trailing {
		return
	}
	base := position{index: index - trailing}
	base.term, _ = l.term(base.index)
	l.entries = append([]Entry(nil), l.between(base.index+1, l.last().index)...)
	l.base = base
}
