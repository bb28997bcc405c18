package corelink_test

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/failure"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

const (
	seedAddress  = "10.0.0.9:1"
	firstLeader  = "10.0.0.1:1"
	secondLeader = "10.0.0.2:1"
	leaseMillis  = 5000
)

// fakeCore is an in-memory core. Polls stay pending in virtual time.
type fakeCore struct {
	mutex  sync.Mutex
	leader string
	term   uint64
	// down addresses are unreachable.
	down map[string]bool
	// unresponsive addresses accept calls and do not answer.
	unresponsive   map[string]bool
	delay          time.Duration
	rejectRenewals bool
	// rejectBelow rejects renewals of smaller incarnations.
	rejectBelow uint64
	// rejection is the reason given while rejectRenewals is set.
	rejection *protocol.Refusal
	latest    *protocol.PollControlResponse
	changed   chan struct{}
	// hangPolls leaves polls that start while it is set without an answer once the state changes.
	hangPolls bool
	// breakConnections is how many calls lose their connection after they were served.
	breakConnections int

	renewals []*protocol.RenewLeaseRequest
	polls    []*protocol.PollControlRequest
	counts   map[string]int
}

func newFakeCore() *fakeCore {
	return &fakeCore{
		leader: firstLeader, term: 1, down: make(map[string]bool), changed: make(chan struct{}), counts: make(map[string]int),
		latest: &protocol.PollControlResponse{Membership: &protocol.MembershipView{Version: 7}},
	}
}

func (c *fakeCore) Open(context.Context, string, *protocol.Request) (wire.Stream, error) {
	return nil, &wire.NotSentError{}
}

func (c *fakeCore) Call(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error) {
	c.mutex.Lock()
	down, unresponsive, delay := c.down[address], c.unresponsive[address], c.delay
	c.mutex.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if down {
		return nil, &wire.NotSentError{Address: address, Cause: context.DeadlineExceeded}
	}
	if delay > 0 {
		arrives := time.After(delay)
		select {
		case <-arrives:
		case <-ctx.Done():
			if request.GetPollControl() == nil {
				// The request still reaches the core after its caller gave up.
				go func() {
					<-arrives
					_, _ = c.serve(context.WithoutCancel(ctx), address, request)
				}()
			}
			return nil, ctx.Err()
		}
	}
	return c.serve(ctx, address, request)
}

func (c *fakeCore) serve(ctx context.Context, address string, request *protocol.Request) (*protocol.Response, error) {
	if request.GetLocateCore() != nil {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.counts["locates"]++
		return &protocol.Response{Body: &protocol.Response_LocateCore{LocateCore: &protocol.LocateCoreResponse{
			LeaderAddress: c.leader, CoreAddresses: []string{firstLeader, secondLeader}, Term: c.term, ClusterId: "cluster",
		}}}, nil
	}
	c.mutex.Lock()
	leads := address == c.leader
	c.mutex.Unlock()
	if !leads {
		return nil, failure.New(failure.NotLeader, protocol.Outcome_NOT_RUN, "another process leads")
	}
	if poll := request.GetPollControl(); poll != nil {
		return c.poll(ctx, poll)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	response := c.answer(request)
	if c.breakConnections > 0 {
		c.breakConnections--
		return nil, &wire.BrokenError{Address: address, Cause: context.Canceled}
	}
	return response, nil
}

func (c *fakeCore) answer(request *protocol.Request) *protocol.Response {
	switch body := request.GetBody().(type) {
	case *protocol.Request_RenewLease:
		c.renewals = append(c.renewals, proto.CloneOf(body.RenewLease))
		return &protocol.Response{Body: &protocol.Response_RenewLease{RenewLease: &protocol.RenewLeaseResponse{
			Granted:        !c.rejectRenewals && body.RenewLease.GetNode().GetIncarnation() >= c.rejectBelow,
			DurationMillis: leaseMillis, Refusal: c.rejection,
			Latest: &protocol.ControlVersions{
				Membership: c.latest.GetMembership().GetVersion(), Configuration: c.latest.GetConfiguration().GetVersion(),
			},
		}}}
	case *protocol.Request_ReportArms:
		c.counts["report_arms"]++
		return &protocol.Response{Body: &protocol.Response_ReportArms{ReportArms: &protocol.ReportArmsResponse{}}}
	default:
		c.counts["other"]++
		return &protocol.Response{Body: &protocol.Response_CoreStatus{CoreStatus: &protocol.CoreStatusResponse{}}}
	}
}

func (c *fakeCore) poll(ctx context.Context, poll *protocol.PollControlRequest) (*protocol.Response, error) {
	c.mutex.Lock()
	c.polls = append(c.polls, proto.CloneOf(poll))
	update, changed, hang := c.updateFor(poll), c.changed, c.hangPolls
	c.mutex.Unlock()
	wait := time.NewTimer(time.Duration(poll.GetWaitMillis()) * time.Millisecond)
	defer wait.Stop()
	for update == nil && !poll.GetFresh() {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-wait.C:
			update = &protocol.PollControlResponse{}
		case <-changed:
			if hang {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			c.mutex.Lock()
			update, changed = c.updateFor(poll), c.changed
			c.mutex.Unlock()
		}
	}
	if update == nil {
		update = &protocol.PollControlResponse{}
	}
	return &protocol.Response{Body: &protocol.Response_PollControl{PollControl: update}}, nil
}

// updateFor returns the sections that are newer than the versions stated in the poll; nil if there are none.
func (c *fakeCore) updateFor(poll *protocol.PollControlRequest) *protocol.PollControlResponse {
	known, update, newer := poll.GetKnown(), &protocol.PollControlResponse{}, false
	if membership := c.latest.GetMembership(); membership.GetVersion() > known.GetMembership() {
		if delta := c.latest.GetMembershipDelta(); delta != nil && delta.GetBaseVersion() == known.GetMembership() {
			update.MembershipDelta, newer = delta, true
		} else if packed := c.latest.GetPackedMembership(); packed != nil && poll.GetAcceptsPackedViews() {
			update.PackedMembership, newer = packed, true
		} else {
			update.Membership, newer = membership, true
		}
	}
	if configuration := c.latest.GetConfiguration(); configuration.GetVersion() > known.GetConfiguration() {
		if delta := c.latest.GetConfigurationDelta(); delta.GetBaseVersion() == known.GetConfiguration() && delta != nil {
			update.ConfigurationDelta = delta
		} else if packed := c.latest.GetPackedConfiguration(); packed != nil && poll.GetAcceptsPackedConfiguration() {
			update.PackedConfiguration = packed
		} else {
			update.Configuration = configuration
		}
		newer = true
	}
	if !newer {
		return nil
	}
	return update
}

// publish changes the state and wakes the pending polls.
func (c *fakeCore) publish(change func(*protocol.PollControlResponse)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.latest = proto.CloneOf(c.latest)
	change(c.latest)
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *fakeCore) set(change func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change()
}

func (c *fakeCore) count(kind string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.counts[kind]
}

func (c *fakeCore) lastRenewal() *protocol.RenewLeaseRequest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.renewals) == 0 {
		return nil
	}
	return c.renewals[len(c.renewals)-1]
}

func (c *fakeCore) renewalCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.renewals)
}

func (c *fakeCore) lastPoll() *protocol.PollControlRequest {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.polls) == 0 {
		return nil
	}
	return c.polls[len(c.polls)-1]
}
