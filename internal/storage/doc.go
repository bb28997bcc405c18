// Package storage keeps the durable state of a core or store process: a
// segmented log with a checksum on each record, snapshots beside it, an identity
// file that tells an emptied folder from a restarted one, and a folder lock.
//
// All access goes through Filesystem, so the same code runs on the operating
// system and on the simulated disk of package simdisk. docs/STORAGE.md gives the
// format on disk and the guarantees.
package storage
