// Package front is the data plane of one process. As ingress it admits turns and
// tool calls of callers and forwards each to the front node that owns its
// session. As owner it chooses the back end, issues the request under a
// reservation in the ledger and streams the answer event by event.
//
// Service wires the parts, which are packages below this one:
//
//   - callerapi: the JSON forms of the HTTP API;
//   - sessions: what an owner caches of sessions, and the event logs of turns;
//   - rollout: which bundle decides for a program;
//   - admission: queues, concurrency limits, rates, gates of training steps;
//   - backends: load, health and models of the servers; outcomes and heartbeat
//     exchange them with the core;
//   - issue: one attempt at a server, with httpheader and sse;
//   - ledgerops and versionpin: operations of the program ledger;
//   - explain: how the newest requests were served.
//
// What stays here is the way of a request: the HTTP handlers (http*.go, route*.go),
// the ingress (ingress*.go), and the runs of turns and calls at their owner
// (owner.go, *_run.go, turn_steps.go), which carry out the commands of the state
// machines of package turn. Each run has a goroutine; Stop waits for all of them.
package front
