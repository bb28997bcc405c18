// Package serverconn is an HTTP/1.1 client for the servers of HTTP routes with a
// pool of idle connections. It is used instead of net/http's transport for requests
// that must not run twice: it reports whether any byte of a request left this process,
// and verifies that a connection is open and has no unread bytes before it sends
// a request on it. Answers are parsed by net/http.
//
// A Pool is safe for concurrent use. A Response must be used by one goroutine; a large request
// is written by a goroutine of its own, which ends when the connection closes.
package serverconn
