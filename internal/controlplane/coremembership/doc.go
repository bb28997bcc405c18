// Package coremembership decides about the members of the core's consensus group: whom the leader
// admits, removes, promotes to a voter and demotes to a standby.
//
// Every function is pure: it takes a View of the group and returns the next Change, which the
// leader proposes to the log. Changes are of one member each, as consensus demands; the decision
// after a change is taken on a new View, once the change is committed. Two rules hold throughout:
//
//   - A voter is added before the one that it replaces is removed, so that the group never runs
//     with fewer voters than wanted while a standby is available.
//   - No voter is removed unless a majority of the remaining voters is alive.
package coremembership
