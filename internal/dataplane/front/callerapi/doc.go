// Package callerapi implements the JSON formats of the front node's HTTP API: it
// parses and validates the bodies and headers of requests, and encodes answers and
// event streams. The field names are part of the public API. The package does not
// depend on how requests are served. Its errors are failures with the path of the
// invalid field.
package callerapi
