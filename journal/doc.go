// Package journal stores the durable state of one member of a replicated log in a
// directory: its identity, its hard state, its entries and its snapshot.
//
// The directory contains `identity` (JSON, written once), one log segment
// `log-<first index>` and, once the log has been compacted, the file
// `snapshot-<index>`. Segments and snapshots consist of records: a length
// (uint32, little endian), a type (one byte), a payload of that length, and the
// xxhash64 of all three. Payloads are JSON.
//
// A segment is self-contained. Its first record holds the hard state and the
// entries after the snapshot at the time the segment was created; each further
// record is one Save. Because each Save is one record, a crash can damage only the
// last record. Segments are padded with zeros to a multiple of 64 KiB, so that a
// truncated segment is detected. Segments and snapshots are written under a
// temporary name, synced and renamed, so that a crash leaves either the old files
// or the new ones.
//
// Open repairs what a crash leaves behind: temporary files, older segments and
// snapshots, and a torn last record. It reports any other damage as a
// *CorruptError, because entries that were acknowledged to the group may be lost.
package journal
