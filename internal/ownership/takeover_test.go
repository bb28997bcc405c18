package ownership_test

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/wire"
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
