package quorum

import (
	"fmt"

	"wasabirelay/consensus"
	"wasabirelay/control"
)

// maxFenceSubjects bounds the subjects that a fence remembers one by one.
const maxFenceSubjects = 1024

// OvertakenError reports that an order was not appended to the log, because the log has or may have a
// later order on the same subject than its sender knew.
type OvertakenError struct {
	// Subject is what the order is about, for example "centres/NAME".
	Subject string
	// Base is the log index up to which the sender knew the orders, Last that of the latest order.
	Base, Last uint64
}

func (e *OvertakenError) Error() string {
	return fmt.Sprintf("an order on %s at index %d is newer than index %d", e.Subject, e.Last, e.Base)
}

// fence keeps orders without a version in their order. Such an order may reach the log long after
// its sender has given it up: a host or the leader was frozen while it held it. It is therefore
// proposed with the log index up to which the state was known when the sender still waited; the leader
// rejects it if a later order on the same subject exists. Only the leader decides, before it appends
// the order, so that the log holds nothing that replicas of earlier versions would apply differently.
type fence struct {
	// floor is an index that no order of a subject without an entry in last exceeds.
	floor uint64
	// last holds the index of the latest order in the log, by subject; it may not be committed.
	last map[string]uint64
}

// orderSubject returns the subject of an order without a version, or "" for any other command.
func orderSubject(c *control.Command) string {
	switch {
	case c.Evacuate != nil:
		return "centres/" + c.Evacuate.Centre
	case c.Begin != nil:
		return "services/" + c.Begin.Service
	}
	return ""
}

// restore forgets the orders, none of which is after the index.
func (f *fence) restore(index uint64) { *f = fence{floor: max(f.floor, index)} }

// record records that the command is in the log at the index.
func (f *fence) record(index uint64, c *control.Command) {
	subject := orderSubject(c)
	if subject == "" {
		return
	}
	if len(f.last) >= maxFenceSubjects {
		for _, last := range f.last {
			f.floor = max(f.floor, last)
		}
		f.last = nil
	}
	if f.last == nil {
		f.last = map[string]uint64{}
	}
	f.last[subject] = max(f.last[subject], index)
}

// truncate forgets the orders after the index, which other leaders may have replaced. Those that are
// still in the log are recorded again when they are applied.
func (f *fence) truncate(index uint64) {
	for subject, last := range f.last {
		f.last[subject] = min(last, index)
	}
}

// check returns an *OvertakenError if the log may hold an order on the same subject after the base.
func (f *fence) check(base uint64, c *control.Command) error {
	subject := orderSubject(c)
	if last := max(f.floor, f.last[subject]); last > base {
		return &OvertakenError{Subject: subject, Base: base, Last: last}
	}
	return nil
}

// checkBase returns an error if the order of a proposal must not be appended now.
func (r *Replica) checkBase(p *Proposal) error {
	if p.Base == nil || orderSubject(&p.Command) == "" {
		return nil
	}
	status := r.node.Status()
	switch {
	case status.Role != consensus.Leader:
		return &consensus.NotLeaderError{Leader: status.Leader}
	case !status.Ready:
		// The log may hold orders of earlier leaders that this replica has not applied.
		return &NotCommittedError{}
	}
	return r.fence.check(*p.Base, &p.Command)
}
