// Package limit decides which requests of one front node wait for a slot of a server group, which run and which are
// rejected. It has
//
//   - Queue, the admission queue: bounded queues by priority class, weighted fair shares of classes and of tenants
//     within them (stride scheduling), and rejection of requests that would wait too long;
//   - Concurrency, a concurrency limit that adapts to measured latency (additive increase, multiplicative decrease);
//   - Bucket, a token bucket, and RetryBudget, which bounds retries to a share of the traffic.
//
// The types have no clock of their own: callers pass the time. None of them is safe for concurrent use.
package limit
