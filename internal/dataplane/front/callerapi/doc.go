// Package callerapi has the JSON forms of the front node's HTTP API: it reads and
// checks the bodies and headers of callers' requests, and writes answers and
// streams of events. The names of the forms are fixed. It knows nothing of how a
// request is served; errors are failures with the path of the field at fault.
package callerapi
