// Package issue sends turns and calls to back ends and reads their answers. Each
// request is sent once. A failed attempt returns an AttemptError, from which the
// caller can tell whether the request provably did not run and how the attempt
// counts for the server's health. Retries are decided elsewhere.
//
// Client serves the front node's own API (OpenAI's chat completions and tool
// calls), RouteClient the HTTP routes, whose requests are forwarded unchanged
// except for the headers of a dialect.
package issue
