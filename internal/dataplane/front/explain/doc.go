// Package explain records how the latest requests of a front node were served:
// which nodes and back ends they were sent to, which decisions were made and when.
// Operators read the records with GET /v1/explain/{id}; nothing else depends on
// them. The goroutine of a Recorder owns its tables; an Explanation is safe for
// concurrent use.
package explain
