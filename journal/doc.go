// Package journal stores the Raft log, hard state, snapshots and identity of a replica
// in one directory. It is the write-ahead log of package consensus. It does not
// interpret log entries and does not take part in replication.
//
// The log is a sequence of segment files. Each record carries its payload length, a
// CRC-32C checksum, its log index and the number of bytes of its segment that were
// synced when the record was written. The last field distinguishes a torn tail from
// corruption: bytes that were synced before a later record was written cannot be torn
// by a crash.
//
// All data for which a synced Save returned without an error survives a crash. After a
// failed write or sync all further operations fail with ErrFailed: the kernel may have
// dropped the dirty pages, so that a second sync could succeed without having written
// them.
package journal
