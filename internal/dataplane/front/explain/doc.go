// Package explain remembers how the newest requests of a front node were
// served: where they went, what was decided and when. Operators read it with
// GET /v1/explain/{id}. It decides nothing. A Store's goroutine owns its tables;
// an Explanation may be written and read from any goroutine.
package explain
