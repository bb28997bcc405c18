package schedulesim

import (
	"math/rand/v2"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/protocol"
)

// AdmissionOptions configures a simulation of front nodes' admission queues for one group of servers.
type AdmissionOptions struct {
	Seed   uint64
	Fronts int
	// Slots is the number of slots of all servers together, which the front nodes share equally.
	Slots int
	// PerSecond is the rate of calls over the complete fleet.
	PerSecond float64
	// Work is the mean time for which a call occupies its slot.
	Work time.Duration
	// Objective is the latency target of a call, and Timeout how long its caller retries.
	Objective time.Duration
	Timeout   time.Duration
	// MaxSends is the maximum number of times that a caller sends one call.
	MaxSends int
	// MaxWaitShare is the part of the objective that a ticket may wait, MaxExpectedShare the part that it may expect to
	// wait when it enters; 0 means no bound besides the queue's.
	MaxWaitShare     float64
	MaxExpectedShare float64
	Length           time.Duration
}

// AdmissionResult is the result of a simulation.
type AdmissionResult struct {
	Calls int
	// InObjective counts the calls that ended within the objective after their first send, Served those that ended before
	// their timeout.
	InObjective int
	Served      int
	// Rejections counts the rejections of single sends, LateRejections those that took longer than lateRejection.
	Rejections     int
	LateRejections int
}

// lateRejection is the time after which a rejection counts as late.
const lateRejection = 50 * time.Millisecond

// Add adds the result of another simulation.
func (r *AdmissionResult) Add(other *AdmissionResult) {
	r.Calls += other.Calls
	r.InObjective += other.InObjective
	r.Served += other.Served
	r.Rejections += other.Rejections
	r.LateRejections += other.LateRejections
}

// ShareOf returns a count as a fraction of all calls.
func (r *AdmissionResult) ShareOf(count int) float64 {
	return float64(count) / float64(max(r.Calls, 1))
}

// admissionFront is one front node's queue with the calls that wait in it, by the ids of their tickets.
type admissionFront struct {
	run     *admissionRun
	queue   *limit.Queue
	waiting map[uint64]*admissionCall
}

// admissionCall is a call with the time of its first send, that of its last one, and the number of sends.
type admissionCall struct {
	startedAt time.Duration
	sentAt    time.Duration
	work      time.Duration
	sends     int
}

// admissionRun is the state of one simulation.
type admissionRun struct {
	options  AdmissionOptions
	timeline *timeline
	fronts   []*admissionFront
	random   *rand.Rand
	nextID   uint64
	result   *AdmissionResult
}

// SimulateAdmission simulates calls that pass through the admission queues of front nodes.
func SimulateAdmission(options AdmissionOptions) *AdmissionResult {
	r := &admissionRun{
		options: options, timeline: &timeline{}, random: rand.New(rand.NewPCG(options.Seed, 3)), result: &AdmissionResult{},
	}
	for range options.Fronts {
		r.fronts = append(r.fronts, &admissionFront{
			run: r, queue: limit.NewQueue(0, 0, options.Slots/options.Fronts), waiting: map[uint64]*admissionCall{},
		})
	}
	r.scheduleCall()
	r.timeline.runUntil(options.Length + options.Timeout)
	return r.result
}

// scheduleCall schedules the next call of a Poisson process and, after it, the following ones.
func (r *admissionRun) scheduleCall() {
	wait := time.Duration(r.random.ExpFloat64() / r.options.PerSecond * float64(time.Second))
	if r.timeline.now+wait > r.options.Length {
		return
	}
	r.timeline.after(wait, func() {
		r.result.Calls++
		work := lognormal(r.random, float64(r.options.Work), sizeSigma, 5*float64(r.options.Work))
		r.send(&admissionCall{startedAt: r.timeline.now, work: time.Duration(work)})
		r.scheduleCall()
	})
}

// send sends a call to a random front node.
func (r *admissionRun) send(call *admissionCall) {
	front := r.fronts[r.random.IntN(len(r.fronts))]
	r.nextID++
	call.sentAt = r.timeline.now
	call.sends++
	front.waiting[r.nextID] = call
	front.apply(front.queue.Enter(r.ticket(call), r.timeline.clock()))
	front.scheduleExpiry()
}

// ticket returns the ticket of a call that is sent now.
func (r *admissionRun) ticket(call *admissionCall) limit.Ticket {
	startedAt := r.timeline.clock().Add(call.startedAt - r.timeline.now)
	return limit.Ticket{
		ID: r.nextID, Class: protocol.Priority_INTERACTIVE, Weight: 1, Deadline: startedAt.Add(r.options.Timeout),
		MaxWait: r.objectiveShare(r.options.MaxWaitShare), MaxExpectedWait: r.objectiveShare(r.options.MaxExpectedShare),
	}
}

// objectiveShare returns a share of the objective.
func (r *admissionRun) objectiveShare(share float64) time.Duration {
	return time.Duration(share * float64(r.options.Objective))
}

// apply runs or rejects the calls that were decided on.
func (f *admissionFront) apply(decisions []limit.Decision) {
	for _, decision := range decisions {
		call := f.waiting[decision.ID]
		delete(f.waiting, decision.ID)
		if decision.Verdict == limit.Run {
			f.run.timeline.after(call.work, func() { f.callEnded(call) })
			continue
		}
		f.run.callRejected(call, decision.RetryAfter)
	}
}

// callEnded counts a call that ended and releases its slot.
func (f *admissionFront) callEnded(call *admissionCall) {
	duration := f.run.timeline.now - call.startedAt
	if duration <= f.run.options.Timeout {
		f.run.result.Served++
	}
	if duration <= f.run.options.Objective {
		f.run.result.InObjective++
	}
	f.apply(f.queue.Leave(f.run.timeline.clock()))
}

// callRejected counts a rejection and lets the caller retry after retryAfter, within its limits.
func (r *admissionRun) callRejected(call *admissionCall, retryAfter time.Duration) {
	r.result.Rejections++
	if r.timeline.now-call.sentAt > lateRejection {
		r.result.LateRejections++
	}
	if call.sends < r.options.MaxSends && r.timeline.now+retryAfter < call.startedAt+r.options.Timeout {
		r.timeline.after(retryAfter, func() { r.send(call) })
	}
}

// scheduleExpiry schedules the expiry of the next waiting ticket.
func (f *admissionFront) scheduleExpiry() {
	next := f.queue.NextExpiry()
	if next.IsZero() {
		return
	}
	f.run.timeline.after(next.Sub(f.run.timeline.clock()), func() { f.apply(f.queue.Expire(f.run.timeline.clock())) })
}
