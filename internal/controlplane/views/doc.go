// Package views makes and applies deltas of the membership, the back ends and
// the placement, and computes the checksums that verify the result of applying a
// delta. The core makes deltas; front nodes and stores apply them, and request a
// full snapshot of a section when one does not apply.
//
// The package is pure: it does no I/O and modifies no message that is passed to it,
// so views may be shared between goroutines.
package views
