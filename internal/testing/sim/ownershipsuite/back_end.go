package ownershipsuite

import (
	"time"

	"github.com/rosestand/rosestand/internal/testing/sim"
)

// issue is a turn or call sent to a back end, with the epoch as its fencing token.
type issue struct {
	front       string
	incarnation incarnation
	session     string
	requestID   string
	epoch       uint64
	call        bool
}

// backEndAnswer is the answer to an issue.
type backEndAnswer struct {
	accepted bool
}

// backEnd runs what it is sent and rejects an epoch lower than one that it has seen for the session.
type backEnd struct {
	suite       *suite
	environment *sim.Environment
	epochs      map[string]uint64
}

func (s *suite) buildBackEnd(environment *sim.Environment) (sim.Process, error) {
	return &backEnd{suite: s, environment: environment, epochs: make(map[string]uint64)}, nil
}

// Receive runs one turn or call.
func (b *backEnd) Receive(from sim.Address, message any) {
	request, isPacket := message.(packet)
	sent, isIssue := request.body.(issue)
	if !isPacket || !isIssue {
		return
	}
	fenced := sent.epoch < b.epochs[sent.session]
	if b.suite.options.Mutation == MutationBackEndIgnoresEpoch {
		fenced = false
	}
	b.suite.rules.observeBackEnd(sent, b.epochs[sent.session], !fenced)
	b.epochs[sent.session] = max(b.epochs[sent.session], sent.epoch)
	takes := 5*time.Millisecond + time.Duration(b.environment.Random().Int64N(int64(400*time.Millisecond)))
	b.environment.After(takes, func() {
		b.environment.Send(request.answerTo(from), packet{
			id: request.id, reply: true,
			body: backEndAnswer{accepted: !fenced},
		})
	})
}
