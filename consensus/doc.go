// Package consensus implements the Raft protocol (Ongaro and Ousterhout 2014) for
// a replicated log as a pure state machine: methods take an event and the current
// time and return an Output. The package uses no sockets, goroutines, files or
// clocks.
//
// The caller uses a Node from one goroutine and handles every Output completely,
// in field order, before it calls the node again: it persists and syncs Hard,
// Entries and Snapshot, then sends Messages, then applies Committed, then
// answers Reads. The node relies on this and counts every entry in its own log as
// durable, so a caller that fails to persist an Output must stop using the node.
//
// The protocol uses pre-vote, leader stickiness and check-quorum. A member is a
// candidate only if the newest configuration in its log lists its identity as a
// voter, and grants votes only if that configuration lists it as a voter or a
// joining voter. A configuration takes effect when it is appended, not when it is
// committed: if a leader fails after it has committed the promotion of a member,
// that member must be able to vote before it learns of the commit.
package consensus
