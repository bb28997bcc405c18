// Package views makes and applies deltas of the membership, the back ends and
// the placement, and computes the checksums that show whether a delta was
// applied to the view it was made for. It is pure: views and deltas go in,
// views and deltas come out, and no message given is changed.
package views
