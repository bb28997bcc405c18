package directory_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/protocol"
)

// takeoverBound is the maximum duration of a takeover after a refused connection, in virtual time, in which calls take
// no time.
const takeoverBound = 100 * time.Millisecond

// newRefusingFleet returns a fleet in which a node that is down refuses connections.
func newRefusingFleet(names ...string) *fleet {
	f := newFleet(names...)
	f.failure = directory.CallConnectionRefused
	return f
}

// partition makes calls between two nodes fail until the returned function is called.
func (f *fleet) partition(one, other string) (heal func()) {
	severed := true
	f.intercept = func(from, to string, _ *protocol.Request) (*protocol.Response, bool) {
		between := from == one && to == other || from == other && to == one
		return nil, severed && between
	}
	return func() { severed = false }
}

func (m *member) claimOf(session string) uint64 {
	for _, registration := range m.directory.Registrations() {
		if registration.GetSession() == session {
			return registration.GetClaim()
		}
	}
	return 0
}

// resolveWithin resolves a session and requires an owner within the bound.
func (f *fleet) resolveWithin(bound time.Duration, name, session string) directory.Resolved {
	GinkgoHelper()
	before := f.now
	answer := f.nodes[name].resolve(session)
	Expect(answer.Code).To(BeEmpty())
	Expect(f.now.Sub(before)).To(BeNumerically("<=", bound))
	return answer
}

var _ = Describe("the takeover of a lost owner's session", func() {
	It("is immediate after a refused connection, with no new view", func() {
		fleet := newRefusingFleet(threeNodes...)
		session := sessionHeldBy(threeNodes, "c", "")
		fleet.nodes["a"].resolve(session)
		Expect(fleet.nodes["b"].resolve(session).Owner.Name).To(Equal("a"))
		fleet.nodes["a"].down = true
		fleet.nodes["b"].handle(directory.PeerFailed{Address: "a:1", Failure: directory.CallConnectionRefused})
		Expect(fleet.resolveWithin(takeoverBound, "b", session).Owner.Local).To(BeTrue())
		Expect(fleet.nodes["c"].registeredOwner(session)).To(Equal("b"))
		Expect(fleet.nodes["c"].claimOf(session)).NotTo(BeZero())
	})

	It("requires a failed ping after a broken connection", func() {
		fleet := newRefusingFleet(threeNodes...)
		session := sessionHeldBy(threeNodes, "c", "")
		fleet.nodes["a"].resolve(session)
		fleet.nodes["b"].resolve(session)
		fleet.nodes["b"].handle(directory.PeerBroken{Address: "a:1"})
		Expect(fleet.resolveWithin(takeoverBound, "b", session).Owner.Name).To(Equal("a"), "it is alive")
		fleet.nodes["a"].down = true
		fleet.nodes["b"].handle(directory.PeerBroken{Address: "a:1"})
		Expect(fleet.resolveWithin(takeoverBound, "b", session).Owner.Local).To(BeTrue())
	})

	It("notifies an owner that is still alive, which commits its turn before it yields", func() {
		fleet := newRefusingFleet(threeNodes...)
		session := sessionHeldBy(threeNodes, "c", "")
		owner, other := fleet.nodes["a"], fleet.nodes["b"]
		owner.resolve(session)
		code, _ := owner.directory.Begin(owner.moment(), session)
		Expect(code).To(BeEmpty())
		heal := fleet.partition("a", "b")
		other.handle(directory.PeerFailed{Address: "a:1", Failure: directory.CallTimedOut})
		Expect(fleet.resolveWithin(takeoverBound, "b", session).Owner.Local).To(BeTrue())
		heal()
		fleet.settle()
		Expect(owner.owns(session)).To(BeTrue(), "its turn is in flight")
		Expect(owner.yielded).To(BeEmpty())
		owner.handle(directory.GrantEnded{Session: session})
		Expect(owner.yielded).To(ConsistOf(directory.Yielded{Session: session, Reason: directory.YieldDisplaced}))
		Expect(fleet.nodes["c"].registeredOwner(session)).To(Equal("b"))
		Expect(owner.resolve(session).Owner.Name).To(Equal("b"))
	})
})

var _ = Describe("the loss of a partition holder before its lease ends", func() {
	It("makes the next holder register new sessions at once", func() {
		fleet := newRefusingFleet(threeNodes...)
		session := sessionHeldBy(threeNodes, "c", "b")
		fleet.nodes["c"].down = true
		Expect(fleet.resolveWithin(takeoverBound, "a", session).Owner.Local).To(BeTrue())
		Expect(fleet.nodes["b"].registeredOwner(session)).To(Equal("a"))
		Expect(fleet.resolveWithin(takeoverBound, "b", session).Owner.Name).To(Equal("a"))
	})

	It("makes the owners register their sessions with the next holder", func() {
		fleet := newRefusingFleet("a", "b", "c", "d")
		session := sessionHeldBy(fleet.names, "c", "b")
		fleet.nodes["a"].resolve(session)
		fleet.advance(2 * step)
		fleet.nodes["c"].down = true
		Expect(fleet.resolveWithin(takeoverBound, "d", session).Owner.Name).To(Equal("a"))
		Expect(fleet.nodes["a"].yielded).To(BeEmpty())

		By("changing nothing once the lease has expired")
		fleet.publish("a", "b", "d")
		fleet.settle()
		Expect(fleet.nodes["b"].registeredOwner(session)).To(Equal("a"))
		Expect(fleet.nodes["a"].directory.SalvageLength()).To(BeZero())
	})

	It("lets another node take over the sessions that the lost holder owned", func() {
		fleet := newRefusingFleet(threeNodes...)
		session := sessionHeldBy(threeNodes, "c", "b")
		fleet.nodes["c"].resolve(session)
		Expect(fleet.nodes["a"].resolve(session).Owner.Name).To(Equal("c"))
		fleet.nodes["c"].down = true
		fleet.nodes["a"].handle(directory.PeerFailed{Address: "c:1", Failure: directory.CallConnectionRefused})
		Expect(fleet.resolveWithin(takeoverBound, "a", session).Owner.Local).To(BeTrue())
	})

	It("ends the sessions registered with it at once under the end-sessions policy", func() {
		fleet := newRefusingFleet(threeNodes...)
		session := sessionHeldBy(threeNodes, "c", "b")
		fleet.nodes["a"].handle(
			directory.PolicyChanged{Policy: directory.Policy{EndSessions: true, BatchSize: 16, RetryDelay: step}},
		)
		fleet.nodes["a"].resolve(session)
		fleet.nodes["c"].down = true
		fleet.nodes["a"].handle(directory.PeerBroken{Address: "c:1"})
		fleet.advance(takeoverBound)
		Expect(fleet.nodes["a"].owns(session)).To(BeFalse())
		Expect(fleet.nodes["a"].yielded).To(ContainElement(directory.Yielded{Session: session, Reason: directory.YieldEnded}))
		Expect(fleet.resolveWithin(takeoverBound, "b", session).Owner.Local).To(BeTrue())
	})
})

var _ = Describe("a holder that is unreachable from one node only", func() {
	It("is queried through the next holder, which takes nothing over", func() {
		fleet := newRefusingFleet(threeNodes...)
		fleet.failure = directory.CallTimedOut
		fleet.partition("a", "c")
		session := sessionHeldBy(threeNodes, "c", "b")
		Expect(fleet.resolveWithin(takeoverBound, "a", session).Owner.Local).To(BeTrue())
		Expect(fleet.nodes["c"].registeredOwner(session)).To(Equal("a"))
		Expect(fleet.nodes["b"].registeredOwner(session)).To(BeEmpty())
		Expect(fleet.nodes["b"].resolve(session).Owner.Name).To(Equal("a"))
	})
})

var _ = Describe("a suspect that is still alive", func() {
	It("holds its partition again, and of two owners of a session the one with the later claim remains", func() {
		fleet := newRefusingFleet(threeNodes...)
		fleet.failure = directory.CallTimedOut
		contested, newSession := sessionHeldBy(threeNodes, "c", "b"), ""
		for i := range 1000 {
			if name := "fresh-" + time.Duration(i).String(); fleet.holderOf(name) == "c" {
				newSession = name
				break
			}
		}
		paused := fleet.nodes["c"]
		paused.resolve(contested)
		Expect(fleet.nodes["a"].resolve(contested).Owner.Name).To(Equal("c"))
		paused.down = true
		fleet.nodes["a"].handle(directory.PeerFailed{Address: "c:1", Failure: directory.CallTimedOut})
		Expect(fleet.resolveWithin(2*takeoverBound, "a", contested).Owner.Local).To(BeTrue())
		Expect(fleet.resolveWithin(2*takeoverBound, "a", newSession).Owner.Local).To(BeTrue())

		paused.down = false
		fleet.settle()
		for _, name := range threeNodes {
			Expect(fleet.nodes[name].directory.SuspectCount()).To(BeZero())
			Expect(fleet.nodes[name].directory.TransferCount()).To(BeZero())
		}
		Expect(paused.registeredOwner(newSession)).To(Equal("a"))
		Expect(paused.registeredOwner(contested)).To(Equal("a"))
		Expect(paused.yielded).To(ConsistOf(directory.Yielded{Session: contested, Reason: directory.YieldDisplaced}))
		Expect(fleet.nodes["b"].directory.Registrations()).NotTo(ContainElement(HaveField("Session", newSession)))
		Expect(fleet.nodes["b"].resolve(contested).Owner.Name).To(Equal("a"))
	})

	It("is not suspected after an inconclusive call, nor trusted after a response of another incarnation", func() {
		fleet := newFleet(threeNodes...)
		node := fleet.nodes["a"]
		node.handle(directory.PeerFailed{Address: "c:1", Failure: directory.CallInconclusive})
		fleet.settle()
		Expect(node.directory.SuspectCount()).To(BeZero())

		node.handle(directory.PeerFailed{Address: "c:1", Failure: directory.CallConnectionRefused})
		fleet.nodes["c"].reincarnate()
		fleet.settle()
		Expect(node.directory.SuspectCount()).To(Equal(1))
		fleet.publish(threeNodes...)
		fleet.settle()
		Expect(node.directory.SuspectCount()).To(BeZero())
	})
})

var _ = Describe("the end of a call to an earlier incarnation", func() {
	It("does not prevent the registrations queued for the current incarnation from being sent", func() {
		fleet := newFleet(threeNodes...)
		node, session := fleet.nodes["a"], sessionHeldBy(threeNodes, "c", "b")
		node.resolve(session)
		late := node.directory.Handle(node.moment(), directory.PeerBroken{Address: "c:1"})
		Expect(late).To(HaveLen(1), "a ping that ends late")
		fleet.intercept = func(from, to string, _ *protocol.Request) (*protocol.Response, bool) {
			return nil, from == "c" && to == "a"
		}
		node.authority = false
		fleet.nodes["c"].reincarnate()
		fleet.publish(threeNodes...)
		Expect(node.directory.OnSalvageList(session)).To(BeTrue())
		node.handle(directory.CallEnded{Call: late[0].(directory.Send).Call})
		node.authority = true
		fleet.settle()
		Expect(node.directory.OnSalvageList(session)).To(BeFalse())
		Expect(fleet.nodes["c"].registeredOwner(session)).To(Equal("a"))
	})
})

var _ = Describe("a draining node that has already read a request", func() {
	It("forwards it to the holder, which becomes the owner", func() {
		fleet := newFleet(threeNodes...)
		node, session := fleet.nodes["a"], sessionHeldBy(threeNodes, "c", "")
		node.draining = true
		node.handle(directory.DrainBegun{})
		Expect(fleet.resolveWithin(takeoverBound, "a", session).Owner.Name).To(Equal("c"))
		code, _ := fleet.nodes["c"].directory.Begin(fleet.nodes["c"].moment(), session)
		Expect(code).To(BeEmpty())
		Expect(fleet.nodes["b"].resolve(session).Owner.Name).To(Equal("c"))
	})

	It("resolves a session of its own partition once the view shows the drain", func() {
		fleet := newFleet(threeNodes...)
		node, session := fleet.nodes["a"], sessionHeldBy(threeNodes, "a", "c")
		node.resolve(session)
		node.draining = true
		node.handle(directory.DrainBegun{})
		ticket := node.beginResolve(session)
		fleet.advance(takeoverBound)
		fleet.publish(threeNodes...)
		fleet.advance(3 * takeoverBound)
		Expect(node.resolved).To(HaveKey(ticket))
		Expect(node.resolved[ticket].Code).To(BeEmpty())
		Expect(node.resolved[ticket].Owner.Name).To(Equal("c"))
	})
})

var _ = Describe("an owner that was restarted at once", func() {
	It("loses its sessions to a takeover once its next incarnation has responded, before a view shows it", func() {
		fleet := newRefusingFleet(threeNodes...)
		session := sessionHeldBy(threeNodes, "c", "")
		fleet.nodes["a"].resolve(session)
		Expect(fleet.nodes["b"].resolve(session).Owner.Name).To(Equal("a"))
		fleet.names = fleet.names[1:]
		restarted := fleet.add("a")
		restarted.self.Incarnation += 1000
		restarted.directory = directory.New(directory.Options{Self: restarted.self, Random: rand.New(rand.NewPCG(1, 2))})
		fleet.nodes["b"].handle(directory.PeerBroken{Address: "a:1"})
		Expect(fleet.resolveWithin(takeoverBound, "b", session).Owner.Local).To(BeTrue())
		fleet.publish(threeNodes...)
		fleet.settle()
		Expect(fleet.nodes["b"].directory.SuspectCount()).To(BeZero())
		Expect(restarted.resolve(session).Owner.Name).To(Equal("b"))
	})
})

var _ = Describe("the timeout of calls to an unresponsive member", func() {
	timeout := func(fleet *fleet) time.Duration {
		commands := fleet.nodes["a"].directory.Handle(fleet.nodes["a"].moment(), directory.PeerBroken{Address: "c:1"})
		Expect(commands).To(HaveLen(1))
		sent := commands[0].(directory.Send)
		fleet.nodes["a"].handle(directory.CallEnded{Call: sent.Call, Response: fleet.nodes["c"].serve(sent.Request)})
		return sent.Timeout
	}

	It("grows with the duration of recent calls, up to four times, and shrinks again", func() {
		fleet := newFleet(threeNodes...)
		usual := timeout(fleet)
		Expect(usual).To(Equal(directory.DefaultFailureDetectionTimeout / 2))
		commands := fleet.nodes["a"].directory.Handle(fleet.nodes["a"].moment(), directory.PeerBroken{Address: "c:1"})
		slow := commands[0].(directory.Send)
		fleet.now = fleet.now.Add(100 * time.Millisecond)
		fleet.nodes["a"].handle(directory.CallEnded{Call: slow.Call, Response: fleet.nodes["c"].serve(slow.Request)})
		Expect(timeout(fleet)).To(And(BeNumerically(">", 350*time.Millisecond), BeNumerically("<=", 4*usual)))
		for range 100 {
			timeout(fleet)
		}
		Expect(timeout(fleet)).To(Equal(usual))
	})
})

var _ = Describe("a new session", func() {
	It("costs one round trip to its holder, and nothing afterwards", func() {
		fleet := newFleet(threeNodes...)
		session := sessionHeldBy(threeNodes, "c", "")
		fleet.sent = nil
		Expect(fleet.nodes["a"].resolve(session).Owner.Local).To(BeTrue())
		Expect(fleet.nodes["a"].resolve(session).Owner.Local).To(BeTrue())
		Expect(fleet.sent).To(HaveLen(1))
		Expect(fleet.nodes["b"].resolve(session).Owner.Name).To(Equal("a"))
		Expect(fleet.nodes["b"].resolve(session).Owner.CacheHit).To(BeTrue())
		Expect(fleet.sent).To(HaveLen(2))
	})
})

var _ = Describe("an indirect suspicion of a member that is alive", func() {
	It("makes a node ping it at most four times a second", func() {
		fleet := newFleet(threeNodes...)
		holder := fleet.nodes["b"]
		suspect := &protocol.Suspect{Name: "c", Incarnation: fleet.nodes["c"].self.Incarnation}
		fleet.sent = nil
		for range 200 {
			fleet.now = fleet.now.Add(step)
			holder.serve(&protocol.Request{Body: &protocol.Request_LookupSession{LookupSession: &protocol.LookupSessionRequest{
				Session: sessionHeldBy(threeNodes, "b", ""), ViewVersion: fleet.version, Suspects: []*protocol.Suspect{suspect},
			}}})
		}
		Expect(len(fleet.sent)).To(And(BeNumerically(">=", 1), BeNumerically("<=", 5)))
		Expect(holder.directory.SuspectCount()).To(BeZero())
	})
})

// route identifies the sender and the receiver of a request.
type route struct{ from, to string }

// recordNamedSuspects counts the suspects named in requests with registrations: gainedNamed counts those from which the
// receiver had reported gained ranges, maxOthers is the maximum number of others in one request.
func (f *fleet) recordNamedSuspects() (maxOthers *int, gainedNamed *int) {
	transferSuspects := map[route][]string{}
	maxOthers, gainedNamed = new(int), new(int)
	f.intercept = func(from, to string, request *protocol.Request) (*protocol.Response, bool) {
		register := request.GetRegisterSessions()
		var suspects []string
		for _, suspect := range register.GetSuspects() {
			suspects = append(suspects, suspect.GetName())
		}
		switch {
		case register == nil || register.GetCause() == protocol.RegistrationCause_CAUSE_NEW:
		case register.GetResend():
			transferSuspects[route{from: to, to: from}] = suspects
		default:
			others := 0
			for _, name := range suspects {
				if slices.Contains(transferSuspects[route{from: from, to: to}], name) {
					*gainedNamed++
				} else {
					others++
				}
			}
			*maxOthers = max(*maxOthers, others)
		}
		return nil, false
	}
	return maxOthers, gainedNamed
}

var _ = Describe("the loss of many front nodes at once", func() {
	It("makes nodes name to a holder all suspects from which it gained ranges, and few others", func() {
		var names []string
		for number := range 40 {
			names = append(names, fmt.Sprintf("n%02d", number))
		}
		fleet := newRefusingFleet(names...)
		lost, survivors := names[:16], names[16:]
		for number := range 400 {
			fleet.nodes[names[number%len(names)]].resolve(fmt.Sprint("session", number))
		}
		fleet.settle()
		maxOthers, gainedNamed := fleet.recordNamedSuspects()
		for _, name := range lost {
			fleet.nodes[name].down = true
		}
		for _, name := range survivors {
			for _, lostName := range lost {
				fleet.nodes[name].handle(directory.PeerFailed{Address: lostName + ":1", Failure: directory.CallConnectionRefused})
			}
		}
		fleet.settle()
		Expect(*gainedNamed).To(BeNumerically(">", 100))
		Expect(*maxOthers).To(BeNumerically("<=", 8))
		for _, name := range survivors {
			Expect(fleet.nodes[name].directory.SuspectCount()).To(Equal(len(lost)))
			Expect(fleet.nodes[name].directory.SalvageLength()).To(BeZero())
		}
	})
})
