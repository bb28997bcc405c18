// Package outcomes shares what front nodes observe of servers. One of many front
// nodes sees too little of a server to eject it by itself, so each reports its
// outcomes to the core's leader, which decides over those of all front nodes
// which servers are suspect. This package reports, and has suspects avoided.
package outcomes
