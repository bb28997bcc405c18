// Package apiclient sends requests to the HTTP APIs of core processes and front
// nodes for operators.
//
// An order is a request with an id that the client chooses. When an answer is
// lost, the client sends the same order again, to the same or another core
// process; the core applies an order id once, so that this is safe. The bearer
// token is sent only to the core processes that the operator named, or that these
// list as members.
//
// A Client may be used by one goroutine at a time.
package apiclient
