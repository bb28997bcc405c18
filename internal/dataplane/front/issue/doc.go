// Package issue sends turns and calls to back ends and reads their answers. Each
// request is sent once; a failed attempt is an AttemptError, which says what may
// be concluded from it: whether the request surely did not run, and what it
// shows of the server's health. Whether to try again is decided elsewhere.
//
// Client serves the front node's own interface (OpenAI's chat completions and
// tool calls), RouteClient the HTTP routes, whose requests go out unchanged but
// for the headers of a dialect.
package issue
