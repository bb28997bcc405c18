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
	// takeoverAfterRefusal and takeoverAfterSilence bound a Resolve that has to go round a lost node.
	takeoverAfterRefusal = 200 * time.Millisecond
	takeoverAfterSilence = 800 * time.Millisecond
)

func TestGivenALostOwnerWhenAForwardWasRefusedThenTheNextResolveTakesOver(t *testing.T) {
	given(t, trio, func(f *fleet) {
		session := f.ownedBy("a", "c", 1)[0]
		f.resolve("b", session)
		f.loseBy("a", lostRefusing)
		refused := &wire.NotSentError{Address: "a", Cause: syscall.ECONNREFUSED}
		f.nodes["b"].manager.OwnerLost(session, "a", refused)
		f.within(takeoverAfterRefusal, "b", session).BeLocal()
	})
}

func TestGivenALostOwnerWhenAForwardBrokeThenTheNextResolveTakesOver(t *testing.T) {
	given(t, trio, func(f *fleet) {
		session := f.ownedBy("a", "c", 1)[0]
		f.resolve("b", session)
		f.loseBy("a", lostRefusing)
		f.nodes["b"].manager.OwnerLost(session, "a", &wire.BrokenError{Address: "a", Cause: io.EOF})
		f.within(takeoverAfterRefusal, "b", session).BeLocal()
	})
}

func TestGivenAnOwnerThatIsThereWhenAConnectionBrokeThenItStaysTheOwner(t *testing.T) {
	given(t, trio, func(f *fleet) {
		session := f.ownedBy("a", "c", 1)[0]
		f.resolve("b", session)
		f.nodes["b"].manager.OwnerLost(session, "a", &wire.BrokenError{Address: "a", Cause: syscall.ECONNRESET})
		f.g.Expect(f.resolve("b", session).Name).To(Equal("a"))
		f.g.Expect(f.nodes["a"].gaveUp()).To(BeEmpty())
	})
}

func TestGivenALostHolderAndNoNewViewThenAResolveIsAnsweredSoon(t *testing.T) {
	for name, how := range map[string]lostBy{"refusing": lostRefusing, "broken": lostBroken, "silent": lostSilent} {
		t.Run(name, func(t *testing.T) {
			given(t, trio, func(f *fleet) {
				known := f.ownedBy("a", "c", 1)[0]
				f.loseBy("c", how)
				bound := takeoverAfterRefusal
				if how == lostSilent {
					bound = takeoverAfterSilence
				}
				before := time.Now()
				owner, err := f.nodes["b"].manager.Resolve(context.Background(), known, "program")
				f.g.Expect(err).NotTo(HaveOccurred())
				f.g.Expect(time.Since(before)).To(BeNumerically("<=", bound))
				if how != lostSilent {
					f.g.Expect(owner.Name).To(Equal("a"), "its owner has registered it again")
				}
				pass(time.Second)
				for i := range 20 {
					before = time.Now()
					_, err = f.nodes["b"].manager.Resolve(context.Background(), "new-"+time.Duration(i).String(), "program")
					f.g.Expect(err).NotTo(HaveOccurred())
					f.g.Expect(time.Since(before)).To(BeNumerically("<=", 10*time.Millisecond), "nobody waits for it any more")
				}
			})
		})
	}
}

func TestGivenAHolderThatOneNodeCannotReachThenItIsAskedThroughAnother(t *testing.T) {
	given(t, trio, func(f *fleet) {
		session := f.ownedBy("a", "c", 1)[0]
		f.cut("b", "c")
		f.within(takeoverAfterSilence, "b", session).BeOf("a")
		f.g.Expect(f.nodes["a"].gaveUp()).To(BeEmpty())
	})
}

func TestGivenALookupWhoseCallerLeavesWhileItIsPassedOnThenTheNodeGoesOn(t *testing.T) {
	const fleets = 40
	left := 0
	for i := range fleets {
		given(t, trio, func(f *fleet) {
			sessions := f.ownedBy("b", "c", i+1)
			f.cut("a", "c")
			if err := f.lookUpBriefly("a", sessions[i], "c"); errors.Is(err, context.DeadlineExceeded) {
				left++
			}
			pass(time.Second)
			f.g.Expect(f.resolve("a", "another").Name).NotTo(BeEmpty())
		})
	}
	if left == 0 {
		t.Error("no lookup was passed on to a holder that did not answer in time")
	}
}

// lookUpBriefly asks a node, for a millisecond, in place of a holder that the asking node could not reach.
func (f *fleet) lookUpBriefly(asked, session, suspect string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	lookup := &protocol.LookupSessionRequest{
		Session: session, ViewVersion: f.version, Suspects: []*protocol.Suspect{{Name: suspect, Incarnation: 1}},
	}
	_, err := f.nodes[asked].manager.ServeDirectory(ctx, &protocol.Request{
		Body: &protocol.Request_LookupSession{LookupSession: lookup},
	})
	return err
}
