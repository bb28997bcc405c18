// Package limit decides which requests wait, which run and which are refused:
// bounded queues by class with fair shares for tenants, a concurrency limit
// that follows measured latency, token buckets and one retry budget. All of it
// is state without clocks; one owner drives it.
package limit
