// Package bundle reads, checks, merges, compares, signs and indexes policy
// bundles. It is pure: it does no input or output and reads no clock.
//
// A merged bundle is a whole one in normal form: lists sorted by name and every
// policy message present. Merged bundles are immutable; they share their routes,
// groups and tenants with the bundle they were built on.
package bundle
