package schedulesim

import (
	"math/rand/v2"
	"time"

	"github.com/rosestand/rosestand/internal/dataplane/limit"
	"github.com/rosestand/rosestand/internal/protocol"
)

// AdmissionOptions configure a simulation of front nodes' admission queues before one group of servers.
type AdmissionOptions struct {
	Seed   uint64
	Fronts int
	// Slots are those of all servers together, of which each front node has its share.
	Slots int
	// PerSecond is the rate of calls over the complete fleet.
	PerSecond float64
	// Work is the mean time that a call occupies its slot.
	Work time.Duration
	// Objective is the latency target of a call, and Timeout how long its caller retries.
	Objective time.Duration
	Timeout   time.Duration
	// MaxSends is the maximum number of times that a caller sends one call.
	MaxSends int
	// MaxWaitShare is the part of the objective that a ticket may wait, MaxExpectedShare the part that it may
	// expect to wait when it enters; 0 leaves it to the queue.
	MaxWaitShare     float64
	MaxExpectedShare float64
	Length           time.Duration
}

// AdmissionResult is the result of a simulation.
type AdmissionResult struct {
	Calls int
	// InObjective counts the calls that ended within the objective of their first send, Served those that ended at all.
	InObjective int
	Served      int
	// Rejections counts rejections of single sends, LateRejections those after lateRejection.
	Rejections     int
	LateRejections int
}

// lateRejection is the time from which a rejection counts as late.
const lateRejection = 50 * time.Millisecond

// Add adds the result of another simulation.
func (r *AdmissionResult) Add(other *AdmissionResult) {
	r.Calls += other.Calls
	r.InObjective += other.InObjective
	r.Served += other.Served
	r.Rejections += other.Rejections
	r.LateRejections += other.LateRejections
}

// ShareOf is a count as a fraction of all calls.
func (r *AdmissionResult) ShareOf(count int) float64 {
	return float64(count) / float64(max(r.Calls, 1))
}

// admissionFront is one front node's queue with the calls that wait in it.
type admissionFront struct {
	run     *admissionRun
	queue   *limit.Queue
	waiting map[uint64]*admissionCall
}

type admissionCall struct {
	begun  time.Duration
	sentAt time.Duration
	work   time.Duration
	sends  int
}

type admissionRun struct {
	options  AdmissionOptions
	timeline *timeline
	fronts   []*admissionFront
	random   *rand.Rand
	nextID   uint64
	result   *AdmissionResult
}

// SimulateAdmission simulates calls in the admission queues of front nodes.
func SimulateAdmission(options AdmissionOptions) *AdmissionResult {
	p := &admissionRun{
		options: options, timeline: &timeline{}, random: rand.New(rand.NewPCG(options.Seed, 3)), result: &AdmissionResult{},
	}
	for range options.Fronts {
		p.fronts = append(p.fronts, &admissionFront{
			run: p, queue: limit.NewQueue(0, 0, options.Slots/options.Fronts), waiting: map[uint64]*admissionCall{},
		})
	}
	p.scheduleCall()
	p.timeline.runUntil(options.Length + options.Timeout)
	return p.result
}

func (p *admissionRun) scheduleCall() {
	wait := time.Duration(p.random.ExpFloat64() / p.options.PerSecond * float64(time.Second))
	if p.timeline.now+wait > p.options.Length {
		return
	}
	p.timeline.after(wait, func() {
		p.result.Calls++
		work := lognormal(p.random, float64(p.options.Work), sizeSigma, 5*float64(p.options.Work))
		p.send(&admissionCall{begun: p.timeline.now, work: time.Duration(work)})
		p.scheduleCall()
	})
}

// send sends a call to a random front node.
func (p *admissionRun) send(call *admissionCall) {
	front := p.fronts[p.random.IntN(len(p.fronts))]
	p.nextID++
	call.sentAt = p.timeline.now
	call.sends++
	front.waiting[p.nextID] = call
	front.decide(front.queue.Enter(p.ticket(call), p.timeline.clock()))
	front.scheduleExpiry()
}

func (p *admissionRun) ticket(call *admissionCall) limit.Ticket {
	begun := p.timeline.clock().Add(call.begun - p.timeline.now)
	return limit.Ticket{
		ID: p.nextID, Class: protocol.Priority_INTERACTIVE, Weight: 1, Deadline: begun.Add(p.options.Timeout),
		MaxWait: p.objectiveShare(p.options.MaxWaitShare), MaxExpectedWait: p.objectiveShare(p.options.MaxExpectedShare),
	}
}

func (p *admissionRun) objectiveShare(share float64) time.Duration {
	return time.Duration(share * float64(p.options.Objective))
}

func (f *admissionFront) decide(decisions []limit.Decision) {
	for _, decision := range decisions {
		call := f.waiting[decision.ID]
		delete(f.waiting, decision.ID)
		if decision.Verdict == limit.Run {
			f.run.timeline.after(call.work, func() { f.ended(call) })
			continue
		}
		f.run.rejected(call, decision.RetryAfter)
	}
}

func (f *admissionFront) ended(call *admissionCall) {
	took := f.run.timeline.now - call.begun
	if took <= f.run.options.Timeout {
		f.run.result.Served++
	}
	if took <= f.run.options.Objective {
		f.run.result.InObjective++
	}
	f.decide(f.queue.Leave(f.run.timeline.clock()))
}

// rejected has the caller retry after the time that the rejection names.
func (p *admissionRun) rejected(call *admissionCall, retryAfter time.Duration) {
	p.result.Rejections++
	if p.timeline.now-call.sentAt > lateRejection {
		p.result.LateRejections++
	}
	if call.sends < p.options.MaxSends && p.timeline.now+retryAfter < call.begun+p.options.Timeout {
		p.timeline.after(retryAfter, func() { p.send(call) })
	}
}

func (f *admissionFront) scheduleExpiry() {
	next := f.queue.NextExpiry()
	if next.IsZero() {
		return
	}
	f.run.timeline.after(next.Sub(f.run.timeline.clock()), func() { f.decide(f.queue.Expire(f.run.timeline.clock())) })
}
