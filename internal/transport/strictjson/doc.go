// Package strictjson decodes messages from JSON documents in the protobuf mapping
// (protojson) that are written by people: it rejects unknown and repeated fields,
// limits the nesting, and reports faults with the paths of their fields. It also
// encodes messages in the format that it decodes.
//
// The package is pure: it does no I/O, has no state, and is safe for concurrent use.
package strictjson
