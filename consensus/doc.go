// Package consensus implements a leader-based replicated log (Ongaro and
// Ousterhout 2014) as pure logic: methods take events and a time and return an
// Output. The package holds no sockets, goroutines, files or clocks.
//
// The caller owns a Node from one goroutine and handles every Output completely,
// in field order, before it calls the node again: it persists and syncs Hard,
// Entries and Snapshot, then sends Messages, then applies Committed, then
// answers Reads. A node counts its own log as durable on that assumption, so a
// caller that fails to persist must stop using the node.
//
// The protocol uses pre-vote, leader stickiness and check-quorum. A member
// votes and stands for election only if the newest configuration in its log
// lists its identity as a voter. Configurations take effect when they are
// appended, not when they are committed: a member that was promoted by an entry
// that a failed leader had already committed must be able to vote before it
// learns of the commit.
package consensus
