// Package bundle parses, checks, merges, compares, signs and indexes policy
// bundles, and encodes them canonically for their digests.
//
// A merged bundle is a complete one in normal form: lists sorted by name and
// every policy message present. Merged bundles are immutable and may be shared
// between goroutines; they share their routes, groups and tenants with the bundle
// that they were built on.
//
// The package is pure: it does no I/O and reads no clock. What bundles are for
// is in the brief ("policy bundles"); their fields are in bundle.proto.
package bundle
