package ownershipsuite

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

func (f *front) send(command directory.Send) {
	if answer := f.mutatedAnswer(command.Request); answer != nil {
		f.environment.After(0, func() { f.handle(directory.Answered{Call: command.Call, Response: answer}) })
		return
	}
	f.suite.meter.count(f.environment.Address(), sim.Address(command.Address), command.Request)
	f.call(sim.Address(command.Address), command.Request, command.Timeout, func(body any) {
		response := f.responseOf(body)
		if f.suite.world.Tracing() {
			f.environment.Tracef("asked %s %v: %v", command.Address, command.Request, response)
		}
		f.handle(directory.Answered{Call: command.Call, Response: f.mutate(response), Failure: f.evidence()})
	})
}

// mutatedAnswer is the answer that a mutation makes up in place of sending a request.
func (f *front) mutatedAnswer(request *protocol.Request) *protocol.Response {
	register := request.GetRegisterSessions()
	if f.suite.options.Mutation != MutationDropRegistrations || register.GetCause() != protocol.RegistrationCause_CAUSE_SALVAGE {
		return nil
	}
	answer := &protocol.RegisterSessionsResponse{ViewVersion: register.GetViewVersion()}
	for _, registration := range register.GetRegistrations() {
		answer.Results = append(answer.Results, &protocol.RegistrationResult{
			Session: registration.GetSession(), Status: protocol.DirectoryStatus_DIRECTORY_OK,
		})
	}
	return &protocol.Response{Body: &protocol.Response_RegisterSessions{RegisterSessions: answer}}
}

func (f *front) mutate(response *protocol.Response) *protocol.Response {
	if f.suite.options.Mutation == MutationKeepDuplicates {
		for _, result := range response.GetRegisterSessions().GetResults() {
			if result.GetStatus() == protocol.DirectoryStatus_DUPLICATE_ACTIVATION {
				result.Status = protocol.DirectoryStatus_DIRECTORY_OK
			}
		}
	}
	return response
}

// responseOf is the response in an answer; nil, with the reason noted, when there is none.
func (f *front) responseOf(body any) *protocol.Response {
	response, answered := body.(*protocol.Response)
	if answered && response == nil {
		f.failure = directory.CallNoAuthority
	}
	return response
}

// evidence is what the call that is being finished without an answer shows.
func (f *front) evidence() directory.CallFailure {
	if f.suite.options.Mutation == MutationAwaitLeases {
		return directory.CallInconclusive
	}
	return f.failure
}

// serveDirectory answers as holder; without authority the answer is nil.
func (f *front) serveDirectory(request *protocol.Request, reply func(*protocol.Response)) {
	at := f.moment()
	if !at.Authority {
		reply(nil)
		return
	}
	if lookup := request.GetLookupSession(); lookup != nil {
		f.serveLookup(at, lookup, reply)
		return
	}
	if f.suite.options.Mutation == MutationKeepDisplaced && f.isNotice(request) {
		reply(&protocol.Response{Body: &protocol.Response_UnregisterSessions{UnregisterSessions: &protocol.UnregisterSessionsResponse{}}})
		return
	}
	if answer := f.serveChange(at, request); answer != nil {
		reply(answer)
	}
}

// isNotice reports whether a request tells this node that others took its place as the owner.
func (f *front) isNotice(request *protocol.Request) bool {
	for _, registration := range request.GetUnregisterSessions().GetRegistrations() {
		if registration.GetOwner() == string(f.environment.Address()) {
			return true
		}
	}
	return false
}

// serveLookup answers a lookup, or passes it on to a holder that the asking node cannot reach.
func (f *front) serveLookup(at directory.Moment, request *protocol.LookupSessionRequest, reply func(*protocol.Response)) {
	answer, relay, commands := f.directory.ServeLookup(at, request)
	f.execute(commands)
	if relay == nil {
		reply(&protocol.Response{Body: &protocol.Response_LookupSession{LookupSession: answer}})
		return
	}
	passedOn := proto.CloneOf(request)
	passedOn.Relayed = true
	body := &protocol.Request{Body: &protocol.Request_LookupSession{LookupSession: passedOn}}
	f.call(sim.Address(relay.Address), body, relay.Timeout, func(body any) {
		if response := f.responseOf(body); response != nil {
			reply(response)
			return
		}
		f.handle(directory.PeerFailed{Address: relay.Address, Failure: f.evidence()})
		at := f.moment()
		if !at.Authority {
			reply(nil)
			return
		}
		f.serveLookup(at, passedOn, reply)
	})
}

// serveChange takes registrations and withdrawals in.
func (f *front) serveChange(at directory.Moment, request *protocol.Request) *protocol.Response {
	switch body := request.GetBody().(type) {
	case *protocol.Request_RegisterSessions:
		answer, commands := f.directory.ServeRegister(at, body.RegisterSessions)
		f.execute(commands)
		return &protocol.Response{Body: &protocol.Response_RegisterSessions{RegisterSessions: answer}}
	case *protocol.Request_UnregisterSessions:
		answer, commands := f.directory.ServeUnregister(at, body.UnregisterSessions)
		f.execute(commands)
		return &protocol.Response{Body: &protocol.Response_UnregisterSessions{UnregisterSessions: answer}}
	default:
		return nil
	}
}
