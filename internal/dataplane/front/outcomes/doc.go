// Package outcomes shares the outcomes of requests to servers between front nodes.
// A single front node of many observes too few outcomes of a server to eject it,
// so each reports its outcomes to the core's leader, which decides from the
// outcomes of all front nodes which servers are suspect. This package sends the
// reports and marks the suspects, so that scheduling avoids them.
package outcomes
