package ownershipsuite

import (
	"google.golang.org/protobuf/proto"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/testing/sim"
)

func (f *front) send(command directory.Send) {
	if answer := f.mutatedAnswer(command.Request); answer != nil {
		f.environment.After(0, func() { f.handle(directory.CallEnded{Call: command.Call, Response: answer}) })
		return
	}
	f.suite.meter.countMessage(f.environment.Address(), sim.Address(command.Address), command.Request)
	f.call(sim.Address(command.Address), command.Request, command.Timeout, func(body any) {
		response := f.responseOf(body)
		if f.suite.world.Tracing() {
			f.environment.Tracef("asked %s %v: %v", command.Address, command.Request, response)
		}
		f.handle(directory.CallEnded{Call: command.Call, Response: f.mutateResponse(response), Failure: f.callFailure()})
	})
}

// mutatedAnswer is the answer that MutationDropRegistrations makes up in place of sending a request; else nil.
func (f *front) mutatedAnswer(request *protocol.Request) *protocol.Response {
	register := request.GetRegisterSessions()
	if f.suite.options.Mutation != MutationDropRegistrations ||
		register.GetCause() != protocol.RegistrationCause_CAUSE_SALVAGE {
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

func (f *front) mutateResponse(response *protocol.Response) *protocol.Response {
	if f.suite.options.Mutation == MutationAcceptDuplicates {
		for _, result := range response.GetRegisterSessions().GetResults() {
			if result.GetStatus() == protocol.DirectoryStatus_DUPLICATE_ACTIVATION {
				result.Status = protocol.DirectoryStatus_DIRECTORY_OK
			}
		}
	}
	return response
}

// responseOf returns the response in an answer; nil, with f.failure set, when there is none.
func (f *front) responseOf(body any) *protocol.Response {
	response, answered := body.(*protocol.Response)
	if answered && response == nil {
		f.failure = directory.CallNoAuthority
	}
	return response
}

// callFailure is why the call that is being finished has no answer.
func (f *front) callFailure() directory.CallFailure {
	if f.suite.options.Mutation == MutationIgnoreCallFailures {
		return directory.CallInconclusive
	}
	return f.failure
}

// serveDirectory answers as holder; without authority it replies nil.
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
	if f.suite.options.Mutation == MutationIgnoreDisplacement && f.isDisplacementNotice(request) {
		body := &protocol.Response_UnregisterSessions{UnregisterSessions: &protocol.UnregisterSessionsResponse{}}
		reply(&protocol.Response{Body: body})
		return
	}
	if answer := f.serveChange(at, request); answer != nil {
		reply(answer)
	}
}

// isDisplacementNotice reports whether a request notifies this node that another one replaced it as owner.
func (f *front) isDisplacementNotice(request *protocol.Request) bool {
	for _, registration := range request.GetUnregisterSessions().GetRegistrations() {
		if registration.GetOwner() == string(f.environment.Address()) {
			return true
		}
	}
	return false
}

// serveLookup answers a lookup, or forwards it to a holder that the requesting node cannot reach.
func (f *front) serveLookup(at directory.Moment, request *protocol.LookupSessionRequest,
	reply func(*protocol.Response),
) {
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
		f.handle(directory.PeerFailed{Address: relay.Address, Failure: f.callFailure()})
		at := f.moment()
		if !at.Authority {
			reply(nil)
			return
		}
		f.serveLookup(at, passedOn, reply)
	})
}

// serveChange applies registrations and their withdrawals.
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
