// Package strictjson decodes messages from JSON in the protobuf mapping (protojson)
// as documents that people write: it rejects unknown and repeated fields, bounds
// the nesting, and reports faults with the paths of their fields. It also encodes
// messages in the form that it reads.
//
// The package is pure: it does no I/O, has no state, and is safe for concurrent use.
package strictjson
