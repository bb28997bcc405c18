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

// soon bounds a takeover after a refused connection, in virtual time without the time that calls take.
const soon = 100 * time.Millisecond

// refusing is a fleet in which a lost node refuses connections, without a new view.
func refusing(names ...string) *fleet {
	made := newFleet(names...)
	made.failure = directory.CallConnectionRefused
	return made
}

// partition lets calls between two nodes time out; the function returned ends that.
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

// resolveWithin resolves a session and expects an answer within a bound.
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
		fleet := refusing(trio...)
		session := sessionHeldBy(trio, "c", "")
		fleet.nodes["a"].resolve(session)
		Expect(fleet.nodes["b"].resolve(session).Owner.Name).To(Equal("a"))
		fleet.nodes["a"].down = true
		fleet.nodes["b"].handle(directory.PeerFailed{Address: "a:1", Failure: directory.CallConnectionRefused})
		Expect(fleet.resolveWithin(soon, "b", session).Owner.Local).To(BeTrue())
		Expect(fleet.nodes["c"].registeredOwner(session)).To(Equal("b"))
		Expect(fleet.nodes["c"].claimOf(session)).NotTo(BeZero())
	})

	It("pings the owner after a broken connection", func() {
		fleet := refusing(trio...)
		session := sessionHeldBy(trio, "c", "")
		fleet.nodes["a"].resolve(session)
		fleet.nodes["b"].resolve(session)
		fleet.nodes["b"].handle(directory.PeerBroken{Address: "a:1"})
		Expect(fleet.resolveWithin(soon, "b", session).Owner.Name).To(Equal("a"), "it is alive")
		fleet.nodes["a"].down = true
		fleet.nodes["b"].handle(directory.PeerBroken{Address: "a:1"})
		Expect(fleet.resolveWithin(soon, "b", session).Owner.Local).To(BeTrue())
	})

	It("notifies an owner that is alive after all, which commits its turn first", func() {
		fleet := refusing(trio...)
		session := sessionHeldBy(trio, "c", "")
		owner, other := fleet.nodes["a"], fleet.nodes["b"]
		owner.resolve(session)
		code, _ := owner.directory.Begin(owner.at(), session)
		Expect(code).To(BeEmpty())
		heal := fleet.partition("a", "b")
		other.handle(directory.PeerFailed{Address: "a:1", Failure: directory.CallTimedOut})
		Expect(fleet.resolveWithin(soon, "b", session).Owner.Local).To(BeTrue())
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
	It("lets new sessions go to the next holder at once", func() {
		fleet := refusing(trio...)
		session := sessionHeldBy(trio, "c", "b")
		fleet.nodes["c"].down = true
		Expect(fleet.resolveWithin(soon, "a", session).Owner.Local).To(BeTrue())
		Expect(fleet.nodes["b"].registeredOwner(session)).To(Equal("a"))
		Expect(fleet.resolveWithin(soon, "b", session).Owner.Name).To(Equal("a"))
	})

	It("lets the next holder know of the sessions that their owners still have", func() {
		fleet := refusing("a", "b", "c", "d")
		session := sessionHeldBy(fleet.names, "c", "b")
		fleet.nodes["a"].resolve(session)
		fleet.advance(2 * step)
		fleet.nodes["c"].down = true
		Expect(fleet.resolveWithin(soon, "d", session).Owner.Name).To(Equal("a"))
		Expect(fleet.nodes["a"].yielded).To(BeEmpty())

		By("changing nothing once the lease has expired")
		fleet.publish("a", "b", "d")
		fleet.settle()
		Expect(fleet.nodes["b"].registeredOwner(session)).To(Equal("a"))
		Expect(fleet.nodes["a"].directory.SalvageLength()).To(BeZero())
	})

	It("takes over sessions that the lost holder owned", func() {
		fleet := refusing(trio...)
		session := sessionHeldBy(trio, "c", "b")
		fleet.nodes["c"].resolve(session)
		Expect(fleet.nodes["a"].resolve(session).Owner.Name).To(Equal("c"))
		fleet.nodes["c"].down = true
		fleet.nodes["a"].handle(directory.PeerFailed{Address: "c:1", Failure: directory.CallConnectionRefused})
		Expect(fleet.resolveWithin(soon, "a", session).Owner.Local).To(BeTrue())
	})

	It("ends the sessions registered there at once under the end-sessions policy", func() {
		fleet := refusing(trio...)
		session := sessionHeldBy(trio, "c", "b")
		fleet.nodes["a"].handle(
			directory.PolicyChanged{Policy: directory.Policy{EndSessions: true, BatchSize: 16, RetryDelay: step}},
		)
		fleet.nodes["a"].resolve(session)
		fleet.nodes["c"].down = true
		fleet.nodes["a"].handle(directory.PeerBroken{Address: "c:1"})
		fleet.advance(soon)
		Expect(fleet.nodes["a"].owns(session)).To(BeFalse())
		Expect(fleet.nodes["a"].yielded).To(ContainElement(directory.Yielded{Session: session, Reason: directory.YieldEnded}))
		Expect(fleet.resolveWithin(soon, "b", session).Owner.Local).To(BeTrue())
	})
})

var _ = Describe("a holder that one node alone cannot reach", func() {
	It("is queried through the next one, which takes nothing over", func() {
		fleet := refusing(trio...)
		fleet.failure = directory.CallTimedOut
		fleet.partition("a", "c")
		session := sessionHeldBy(trio, "c", "b")
		Expect(fleet.resolveWithin(soon, "a", session).Owner.Local).To(BeTrue())
		Expect(fleet.nodes["c"].registeredOwner(session)).To(Equal("a"))
		Expect(fleet.nodes["b"].registeredOwner(session)).To(BeEmpty())
		Expect(fleet.nodes["b"].resolve(session).Owner.Name).To(Equal("a"))
	})
})

var _ = Describe("a suspect that is alive after all", func() {
	It("gets its partition back, and the later claim stays where two own a session", func() {
		fleet := refusing(trio...)
		fleet.failure = directory.CallTimedOut
		doubled, fresh := sessionHeldBy(trio, "c", "b"), ""
		for i := range 1000 {
			if name := "fresh-" + time.Duration(i).String(); fleet.holderOf(name) == "c" {
				fresh = name
				break
			}
		}
		frozen := fleet.nodes["c"]
		frozen.resolve(doubled)
		Expect(fleet.nodes["a"].resolve(doubled).Owner.Name).To(Equal("c"))
		frozen.down = true
		fleet.nodes["a"].handle(directory.PeerFailed{Address: "c:1", Failure: directory.CallTimedOut})
		Expect(fleet.resolveWithin(2*soon, "a", doubled).Owner.Local).To(BeTrue())
		Expect(fleet.resolveWithin(2*soon, "a", fresh).Owner.Local).To(BeTrue())

		frozen.down = false
		fleet.settle()
		for _, name := range trio {
			Expect(fleet.nodes[name].directory.SuspectCount()).To(BeZero())
			Expect(fleet.nodes[name].directory.TransferCount()).To(BeZero())
		}
		Expect(frozen.registeredOwner(fresh)).To(Equal("a"))
		Expect(frozen.registeredOwner(doubled)).To(Equal("a"))
		Expect(frozen.yielded).To(ConsistOf(directory.Yielded{Session: doubled, Reason: directory.YieldDisplaced}))
		Expect(fleet.nodes["b"].directory.Registrations()).NotTo(ContainElement(HaveField("Session", fresh)))
		Expect(fleet.nodes["b"].resolve(doubled).Owner.Name).To(Equal("a"))
	})

	It("is not suspected after an inconclusive call, nor trusted by the answer of another incarnation", func() {
		fleet := newFleet(trio...)
		node := fleet.nodes["a"]
		node.handle(directory.PeerFailed{Address: "c:1", Failure: directory.CallInconclusive})
		fleet.settle()
		Expect(node.directory.SuspectCount()).To(BeZero())

		node.handle(directory.PeerFailed{Address: "c:1", Failure: directory.CallConnectionRefused})
		fleet.nodes["c"].reincarnate()
		fleet.settle()
		Expect(node.directory.SuspectCount()).To(Equal(1))
		fleet.publish(trio...)
		fleet.settle()
		Expect(node.directory.SuspectCount()).To(BeZero())
	})
})

var _ = Describe("an answer to a call to an earlier incarnation", func() {
	It("does not keep the sessions that wait for the present one from being sent", func() {
		fleet := newFleet(trio...)
		node, session := fleet.nodes["a"], sessionHeldBy(trio, "c", "b")
		node.resolve(session)
		late := node.directory.Handle(node.at(), directory.PeerBroken{Address: "c:1"})
		Expect(late).To(HaveLen(1), "a ping that is answered late")
		fleet.intercept = func(from, to string, _ *protocol.Request) (*protocol.Response, bool) {
			return nil, from == "c" && to == "a"
		}
		node.authority = false
		fleet.nodes["c"].reincarnate()
		fleet.publish(trio...)
		Expect(node.directory.OnSalvageList(session)).To(BeTrue())
		node.handle(directory.CallEnded{Call: late[0].(directory.Send).Call})
		node.authority = true
		fleet.settle()
		Expect(node.directory.OnSalvageList(session)).To(BeFalse())
		Expect(fleet.nodes["c"].registeredOwner(session)).To(Equal("a"))
	})
})

var _ = Describe("a draining node that has read a request", func() {
	It("forwards it to the holder, which becomes the owner", func() {
		fleet := newFleet(trio...)
		leaving, session := fleet.nodes["a"], sessionHeldBy(trio, "c", "")
		leaving.draining = true
		leaving.handle(directory.DrainBegun{})
		Expect(fleet.resolveWithin(soon, "a", session).Owner.Name).To(Equal("c"))
		code, _ := fleet.nodes["c"].directory.Begin(fleet.nodes["c"].at(), session)
		Expect(code).To(BeEmpty())
		Expect(fleet.nodes["b"].resolve(session).Owner.Name).To(Equal("c"))
	})

	It("finds an owner for a session of its own partition as soon as the view shows the drain", func() {
		fleet := newFleet(trio...)
		leaving, session := fleet.nodes["a"], sessionHeldBy(trio, "a", "c")
		leaving.resolve(session)
		leaving.draining = true
		leaving.handle(directory.DrainBegun{})
		ticket := leaving.request(session)
		fleet.advance(soon)
		fleet.publish(trio...)
		fleet.advance(3 * soon)
		Expect(leaving.resolved).To(HaveKey(ticket))
		Expect(leaving.resolved[ticket].Code).To(BeEmpty())
		Expect(leaving.resolved[ticket].Owner.Name).To(Equal("c"))
	})
})

var _ = Describe("an owner that was started again at once", func() {
	It("is taken over as soon as its next incarnation has answered, before a view shows it", func() {
		fleet := refusing(trio...)
		session := sessionHeldBy(trio, "c", "")
		fleet.nodes["a"].resolve(session)
		Expect(fleet.nodes["b"].resolve(session).Owner.Name).To(Equal("a"))
		fleet.names = fleet.names[1:]
		reborn := fleet.add("a")
		reborn.self.Incarnation += 1000
		reborn.directory = directory.New(directory.Options{Self: reborn.self, Random: rand.New(rand.NewPCG(1, 2))})
		fleet.nodes["b"].handle(directory.PeerBroken{Address: "a:1"})
		Expect(fleet.resolveWithin(soon, "b", session).Owner.Local).To(BeTrue())
		fleet.publish(trio...)
		fleet.settle()
		Expect(fleet.nodes["b"].directory.SuspectCount()).To(BeZero())
		Expect(reborn.resolve(session).Owner.Name).To(Equal("b"))
	})
})

var _ = Describe("the timeout of calls to an unresponsive member", func() {
	timeout := func(fleet *fleet) time.Duration {
		commands := fleet.nodes["a"].directory.Handle(fleet.nodes["a"].at(), directory.PeerBroken{Address: "c:1"})
		Expect(commands).To(HaveLen(1))
		sent := commands[0].(directory.Send)
		fleet.nodes["a"].handle(directory.CallEnded{Call: sent.Call, Response: fleet.nodes["c"].serve(sent.Request)})
		return sent.Timeout
	}

	It("grows with the duration of recent answers, up to four times, and shrinks again", func() {
		fleet := newFleet(trio...)
		usual := timeout(fleet)
		Expect(usual).To(Equal(directory.DefaultFailureDetectionTimeout / 2))
		commands := fleet.nodes["a"].directory.Handle(fleet.nodes["a"].at(), directory.PeerBroken{Address: "c:1"})
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
		fleet := newFleet(trio...)
		session := sessionHeldBy(trio, "c", "")
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
		fleet := newFleet(trio...)
		holder := fleet.nodes["b"]
		suspect := &protocol.Suspect{Name: "c", Incarnation: fleet.nodes["c"].self.Incarnation}
		fleet.sent = nil
		for range 200 {
			fleet.now = fleet.now.Add(step)
			holder.serve(&protocol.Request{Body: &protocol.Request_LookupSession{LookupSession: &protocol.LookupSessionRequest{
				Session: sessionHeldBy(trio, "b", ""), ViewVersion: fleet.version, Suspects: []*protocol.Suspect{suspect},
			}}})
		}
		Expect(len(fleet.sent)).To(And(BeNumerically(">=", 1), BeNumerically("<=", 5)))
		Expect(holder.directory.SuspectCount()).To(BeZero())
	})
})

// route is who sends to whom.
type route struct{ from, to string }

// namedByRegistrations records the maximum of suspects that one registration names beyond those that its holder said
// it had gained from.
func (f *fleet) namedByRegistrations() (maxOthers *int, gainedNamed *int) {
	transferSuspects := map[route][]string{}
	maxOthers, gainedNamed = new(int), new(int)
	f.intercept = func(from, to string, request *protocol.Request) (*protocol.Response, bool) {
		register := request.GetRegisterSessions()
		var suspects []string
		for _, each := range register.GetSuspects() {
			suspects = append(suspects, each.GetName())
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
	It("names all that a holder gained from to it, and few others", func() {
		var everyone []string
		for number := range 40 {
			everyone = append(everyone, fmt.Sprintf("n%02d", number))
		}
		fleet := refusing(everyone...)
		lost, left := everyone[:16], everyone[16:]
		for number := range 400 {
			fleet.nodes[everyone[number%len(everyone)]].resolve(fmt.Sprint("session", number))
		}
		fleet.settle()
		maxOthers, gainedNamed := fleet.namedByRegistrations()
		for _, name := range lost {
			fleet.nodes[name].down = true
		}
		for _, name := range left {
			for _, away := range lost {
				fleet.nodes[name].handle(directory.PeerFailed{Address: away + ":1", Failure: directory.CallConnectionRefused})
			}
		}
		fleet.settle()
		Expect(*gainedNamed).To(BeNumerically(">", 100))
		Expect(*maxOthers).To(BeNumerically("<=", 8))
		for _, name := range left {
			Expect(fleet.nodes[name].directory.SuspectCount()).To(Equal(len(lost)))
			Expect(fleet.nodes[name].directory.SalvageLength()).To(BeZero())
		}
	})
})
