package ownershipsuite

import (
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/lease"
	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/dataplane/ring"
	"github.com/rosestand/rosestand/internal/protocol"
)

const (
	renewInterval = time.Second
	renewTimeout  = time.Second
)

func (f *front) renew() {
	if f.released || f.stoppedRenewing {
		return
	}
	renewal, expired := f.holder.BeginRenewal(f.now())
	if expired && f.suite.options.Mutation == MutationNeverRenew {
		f.stoppedRenewing = true
		return
	}
	f.syncIncarnation()
	f.inContact = f.inContact && !expired
	if !f.inContact && f.suite.options.Mutation != MutationRenewWithoutContact {
		f.checkContact()
		return
	}
	f.call(coreAddress, &protocol.RenewLeaseRequest{Node: f.self()}, renewTimeout, func(body any) {
		answer, _ := body.(*protocol.RenewLeaseResponse)
		f.renewed(renewal, answer)
	})
}

// checkContact verifies that answers of the core arrive before it requests a lease, since others wait for the end of
// a lease once it is granted.
func (f *front) checkContact() {
	sentAt := f.now()
	f.call(coreAddress, &protocol.CoreStatusRequest{}, renewTimeout, func(body any) {
		// An answer that was deferred while the process was frozen proves no contact.
		if _, answered := body.(*protocol.CoreStatusResponse); answered && f.now().Sub(sentAt) <= renewTimeout {
			f.inContact = true
			f.suite.rules.observeContact(f.environment.Address())
			f.renew()
			return
		}
		f.environment.After(100*time.Millisecond, f.renew)
	})
}

func (f *front) renewed(renewal lease.Renewal, answer *protocol.RenewLeaseResponse) {
	wait := 100 * time.Millisecond
	f.inContact = answer != nil || f.hasAuthority()
	if answer != nil {
		f.suite.rules.observeContact(f.environment.Address())
	}
	switch {
	case answer == nil:
	case !answer.GetGranted():
		f.holder.Rejected(f.now(), renewal)
	default:
		duration := time.Duration(answer.GetDurationMillis()) * time.Millisecond
		latest := answer.GetLatest().GetMembership()
		if f.holder.Granted(f.now(), renewal, duration, latest) {
			wait = max(0, renewal.SentAt.Add(renewInterval).Sub(f.now()))
		}
		if latest > f.viewKnown && f.now().Sub(f.pollStarted) > renewInterval {
			// The poll in flight was not answered although there is a newer view; it may have been lost.
			f.finish(f.pollCall, nil)
		}
	}
	f.syncIncarnation()
	f.handle(directory.Ticked{})
	f.environment.After(wait, f.renew)
}

func (f *front) syncIncarnation() {
	if incarnation := f.holder.Incarnation(); incarnation != f.directory.Self().Incarnation {
		f.suite.report.LostLeases++
		f.execute(f.directory.Handle(f.moment(), directory.Reincarnated{Incarnation: incarnation}))
	}
}

func (f *front) poll() {
	request := &protocol.PollControlRequest{
		Node: string(f.environment.Address()), WaitMillis: uint32(longPollTimeout.Milliseconds()),
		Known: &protocol.ControlVersions{Membership: f.viewKnown},
	}
	f.pollStarted = f.now()
	f.pollCall = f.call(coreAddress, request, longPollTimeout+time.Second, func(body any) {
		answer, _ := body.(*protocol.PollControlResponse)
		wait := 20 * time.Millisecond
		if answer == nil {
			wait = 200 * time.Millisecond
		}
		f.polled(answer.GetMembership())
		f.environment.After(wait, f.poll)
	})
}

func (f *front) polled(membership *protocol.MembershipView) {
	if membership.GetVersion() <= f.viewKnown {
		return
	}
	f.viewKnown = membership.GetVersion()
	f.suite.meter.observeView(f.suite.world.Elapsed(), f.environment.Address(), membership)
	if f.ignoresViews() {
		return
	}
	f.handle(directory.ViewChanged{View: f.suite.viewOfMembership(membership)})
	f.holder.ViewApplied(membership.GetVersion())
}

// ignoresViews is true for the front node that ignores views under MutationIgnoreViews.
func (f *front) ignoresViews() bool {
	return f.suite.options.Mutation == MutationIgnoreViews && f.environment.Address() == f.suite.fronts[0] &&
		f.directory.PartitionSize() > 0
}

// viewOfMembership returns the shared view of a membership version.
func (s *suite) viewOfMembership(membership *protocol.MembershipView) directory.View {
	view, known := s.views[membership.GetVersion()]
	if !known {
		view = directory.ViewFromMembership(membership, ring.DefaultVirtualNodes)
		s.views[membership.GetVersion()] = view
	}
	return view
}
