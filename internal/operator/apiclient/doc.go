// Package apiclient sends requests to the HTTP APIs of core processes and front
// nodes for operators.
//
// An order is a request with an id that the client chooses. When a response is
// lost, the client resends the order under the same id, to the same or another
// core process; this is safe, because the core applies each order id only once.
// The bearer token is sent only to the core processes that the operator named, or
// that these list as members.
//
// A Client must not be used by more than one goroutine at a time.
package apiclient
