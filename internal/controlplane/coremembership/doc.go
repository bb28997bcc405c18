// Package coremembership plans changes to the members of the core's consensus group: which members
// the leader admits, removes, promotes to voters and demotes to standbys.
//
// Every function is pure: it takes a View of the group and returns the next Change, which the
// leader proposes to the log. A Change affects one member, as consensus requires; the next one is
// planned on a new View after the change is committed. Two invariants hold:
//
//   - A voter is added before the one that it replaces is removed, so that the group never has
//     fewer voters than its target while a standby is available.
//   - No voter is removed unless a majority of the remaining voters is alive.
package coremembership
