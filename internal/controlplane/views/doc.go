// Package views makes and applies deltas of the membership, the back ends and
// the placement, and computes the checksums that show whether a delta led to the
// view that it was made for. The core makes deltas; front nodes and stores apply
// them, and request a full snapshot of a section when one does not apply.
//
// The package is pure: views and deltas go in and come out, and no message that
// was passed in is changed, so views may be shared between goroutines.
package views
