// Package operator is the operators' command-line client: it speaks to the HTTP
// API of the core, and to front nodes for explanations and traces of training steps.
//
// Every order carries an id that the client makes up. When an answer is lost the
// client sends the same order again, to the same or another core process, so that
// an order never takes effect twice. The bearer token goes only to the core
// processes that the operator named or that these name as members.
package operator
