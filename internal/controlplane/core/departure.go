package core

import (
	"context"
	"sync"
	"time"

	"github.com/rosestand/rosestand/internal/controlplane/departure"
	"github.com/rosestand/rosestand/internal/controlplane/replica"
	"github.com/rosestand/rosestand/internal/protocol"
)

// voterAnswerTimeout bounds the wait for the answers of the other voters.
const voterAnswerTimeout = 300 * time.Millisecond

// coreFleet is what a core member that stops knows of the fleet. It implements departure.Fleet.
type coreFleet struct {
	machine   *Machine
	consensus *replica.Replica
}

// Dependents implements departure.Fleet.
func (f *coreFleet) Dependents() []*protocol.Node {
	return departure.Select(f.machine.View().Membership.GetNodes(), departure.DrainingOrFront)
}

// Others implements departure.Fleet.
func (f *coreFleet) Others(ctx context.Context) departure.Others {
	status := f.consensus.Status()
	var others []*protocol.CoreMember
	for _, member := range status.GetConfiguration().GetMembers() {
		if member.GetVoter() && member.GetId() != status.GetId() {
			others = append(others, member)
		}
	}
	return otherVoters(status.GetId(), f.ask(ctx, others))
}

// ask returns the status of each member, nil where it does not answer.
func (f *coreFleet) ask(ctx context.Context, members []*protocol.CoreMember) []*protocol.CoreStatusResponse {
	ctx, cancel := context.WithTimeout(ctx, voterAnswerTimeout)
	defer cancel()
	answers := make([]*protocol.CoreStatusResponse, len(members))
	var asked sync.WaitGroup
	for index, member := range members {
		asked.Go(func() { answers[index], _ = f.consensus.StatusAt(ctx, member.GetAddress()) })
	}
	asked.Wait()
	return answers
}

// otherVoters reports on the voters beside self by their answers. Every one must follow a leader, and none with a
// smaller id may stop, so that members that are stopped at the same time leave in turn.
func otherVoters(self uint64, answers []*protocol.CoreStatusResponse) departure.Others {
	size := len(answers) + 1
	if len(answers) <= size/2 {
		return departure.OthersTooFew
	}
	for _, answer := range answers {
		comesBefore := answer.GetStopping() && answer.GetId() < self
		if answer.GetLeader() == 0 || comesBefore {
			return departure.OthersIncomplete
		}
	}
	return departure.OthersSuffice
}
