// Package operator is the operators' command-line client: it parses commands,
// sends them to the HTTP API of the core, or to front nodes for explanations and
// traces of training steps, and prints the responses as tables or as JSON.
//
// Package apiclient sends the requests; its documentation explains why an order
// takes effect only once, and which processes receive the token. Exit codes, flags
// and JSON output are stable, because scripts depend on them. A command runs in one
// goroutine.
package operator
