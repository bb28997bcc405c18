// Package protocol has the messages of the internal protocol, of the control log, of stored records, of bundles and of
// settings. They are generated from proto/rosestand/v1; field numbers, types and JSON names are held by a test and
// never change.
package protocol
