// Package journal keeps a replica's log, hard state, snapshots and identity in
// one folder.
//
// The log is a row of segment files. Each record carries its length, its
// checksum (CRC-32C), its log index and the length of its segment that was
// synced when the record was written. The last tells a torn tail from damage:
// what was synced before a later record was written can't be torn.
//
// What Save returned without error for survives a crash. After a failed write
// or sync the journal refuses all work: the kernel may have dropped the
// unwritten pages, so that a second sync would prove nothing.
package journal
