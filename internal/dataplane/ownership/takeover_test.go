package ownership_test

import (
	"context"
	"errors"
	"io"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

const (
	// takeoverAfterRefusedConnection and takeoverAfterTimeout bound a Resolve that has to bypass a lost node.
	takeoverAfterRefusedConnection = 200 * time.Millisecond
	takeoverAfterTimeout           = 800 * time.Millisecond
)

func TestTakeoverAfterRefusedForward(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		session := f.ownedBy("a", "c", 1)[0]
		f.resolve("b", session)
		f.setFault("a", connectionsRefused)
		refused := &wire.NotSentError{Address: "a", Cause: syscall.ECONNREFUSED}
		f.nodes["b"].manager.OwnerLost(session, "a", refused)
		f.resolveWithin(takeoverAfterRefusedConnection, "b", session).expectLocal()
	})
}

func TestTakeoverAfterBrokenForward(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		session := f.ownedBy("a", "c", 1)[0]
		f.resolve("b", session)
		f.setFault("a", connectionsRefused)
		f.nodes["b"].manager.OwnerLost(session, "a", &wire.BrokenError{Address: "a", Cause: io.EOF})
		f.resolveWithin(takeoverAfterRefusedConnection, "b", session).expectLocal()
	})
}

func TestLiveOwnerIsKeptAfterBrokenConnection(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		session := f.ownedBy("a", "c", 1)[0]
		f.resolve("b", session)
		f.nodes["b"].manager.OwnerLost(session, "a", &wire.BrokenError{Address: "a", Cause: syscall.ECONNRESET})
		f.g.Expect(f.resolve("b", session).Name).To(Equal("a"))
		f.g.Expect(f.nodes["a"].yieldedSessions()).To(BeEmpty())
	})
}

func TestResolveIsFastWithLostHolderAndNoNewView(t *testing.T) {
	faults := map[string]faultMode{
		"refusing": connectionsRefused, "broken": connectionsBroken, "unresponsive": unresponsive,
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			withFleet(t, threeNodes, func(f *fleet) {
				ownedSession := f.ownedBy("a", "c", 1)[0]
				f.setFault("c", fault)
				bound := takeoverAfterRefusedConnection
				if fault == unresponsive {
					bound = takeoverAfterTimeout
				}
				before := time.Now()
				owner, err := f.nodes["b"].manager.Resolve(context.Background(), ownedSession, "program")
				f.g.Expect(err).NotTo(HaveOccurred())
				f.g.Expect(time.Since(before)).To(BeNumerically("<=", bound))
				if fault != unresponsive {
					f.g.Expect(owner.Name).To(Equal("a"), "its owner has registered it again")
				}
				sleep(time.Second)
				for i := range 20 {
					before = time.Now()
					_, err = f.nodes["b"].manager.Resolve(context.Background(), "new-"+time.Duration(i).String(), "program")
					f.g.Expect(err).NotTo(HaveOccurred())
					f.g.Expect(time.Since(before)).To(
						BeNumerically("<=", 10*time.Millisecond), "lookups no longer wait for the lost holder",
					)
				}
			})
		})
	}
}

func TestHolderUnreachableFromOneNodeIsQueriedThroughAnother(t *testing.T) {
	withFleet(t, threeNodes, func(f *fleet) {
		session := f.ownedBy("a", "c", 1)[0]
		f.partition("b", "c")
		f.resolveWithin(takeoverAfterTimeout, "b", session).expectName("a")
		f.g.Expect(f.nodes["a"].yieldedSessions()).To(BeEmpty())
	})
}

func TestNodeContinuesAfterCallerOfForwardedLookupLeaves(t *testing.T) {
	const fleets = 40
	left := 0
	for i := range fleets {
		withFleet(t, threeNodes, func(f *fleet) {
			sessions := f.ownedBy("b", "c", i+1)
			f.partition("a", "c")
			if err := f.lookUpBriefly("a", sessions[i], "c"); errors.Is(err, context.DeadlineExceeded) {
				left++
			}
			sleep(time.Second)
			f.g.Expect(f.resolve("a", "another").Name).NotTo(BeEmpty())
		})
	}
	if left == 0 {
		t.Errorf("none of %d lookups was still being forwarded when its caller left", fleets)
	}
}

// lookUpBriefly sends a node a lookup, with a deadline of one millisecond, that names its holder as a suspect.
func (f *fleet) lookUpBriefly(node, session, suspect string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	lookup := &protocol.LookupSessionRequest{
		Session: session, ViewVersion: f.version, Suspects: []*protocol.Suspect{{Name: suspect, Incarnation: 1}},
	}
	_, err := f.nodes[node].manager.ServeDirectory(ctx, &protocol.Request{
		Body: &protocol.Request_LookupSession{LookupSession: lookup},
	})
	return err
}
