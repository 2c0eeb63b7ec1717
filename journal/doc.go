// Package journal keeps the durable state of one member of a replicated log in
// a folder: its identity, its hard state, its entries and its snapshot.
//
// The folder contains `identity` (JSON, written once), one log segment
// `log-<first index>` and, once the log has been compacted, the file
// `snapshot-<index>`. Segments and snapshots consist of records: a length
// (uint32, little endian), a type (one byte), a payload of that length, and the
// xxhash64 of all three. Payloads are JSON.
//
// A segment is self-contained. Its first record holds the hard state and the
// entries that follow the snapshot at the time it was begun; each further record
// is one Save. One Save is one record, so that a crash can damage only the last
// record. Segments are filled up with zeros to a multiple of 64 KiB, so that one
// that was cut off is known to be damaged. Segments and snapshots are written under
// a temporary name, synced and renamed, so that a crash leaves either the old files
// or the new ones.
//
// Open repairs what a crash leaves behind: temporary files, older segments and
// snapshots, and a torn last record. Anything else that is wrong is reported as
// a *CorruptError, because entries that were promised to the group may be lost.
package journal
