// Package bundle parses, checks, merges, compares, signs and indexes policy
// bundles, and encodes them canonically for their digests.
//
// A merged bundle is a complete one in normal form: lists sorted by name and
// every policy message present. Merged bundles are immutable and may be shared
// between goroutines; they share unchanged entries with the bundle that they
// are based on.
//
// The package is pure: it does no I/O and reads no clock. The fields of bundles
// are documented in bundle.proto.
package bundle
