// Package turn decides the life of one turn and of one tool call at the front
// node that owns the session. Both are state machines that take an event and
// the time and return commands; the front plane carries the commands out and
// feeds their results back as events.
package turn
