package directory_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/dataplane/directory"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("a node that joins", func() {
	names := make([]string, 40)
	for i := range names {
		names[i] = fmt.Sprintf("node-%02d", i)
	}
	completions := func(fleet *fleet) int {
		count := 0
		for _, request := range fleet.sent {
			if request.GetRegisterSessions().GetComplete() {
				count++
			}
		}
		return count
	}
	// join adds a node and returns it with a session that moves to it.
	join := func(fleet *fleet) (joiner *member, session string) {
		joiner = fleet.add("joiner")
		for i := 0; session == ""; i++ {
			candidate := fmt.Sprintf("candidate-%d", i)
			if directory.NewView(1, fleet.fronts(), virtualNodes).Holder(candidate) == "joiner" {
				session = candidate
			}
		}
		return joiner, session
	}

	It("awaits only the completions of the former holders, however many nodes there are", func() {
		fleet := newFleet(names...)
		fleet.sent = nil
		joiner, session := join(fleet)
		fleet.publish(fleet.names...)
		fleet.settle()
		Expect(completions(fleet)).To(BeNumerically("<=", 2*virtualNodes), "one from each former holder")
		answer, _, _ := joiner.directory.ServeLookup(joiner.moment(), &protocol.LookupSessionRequest{Session: session})
		Expect(answer.GetStatus()).To(Equal(protocol.DirectoryStatus_DIRECTORY_NOT_FOUND))
	})

	It("waits for every owner when a holder was lost with the same view", func() {
		fleet := newFleet("a", "b", "c", "d")
		joiner, session := join(fleet)
		// The former holder of the session's range is lost with the same view that adds the joiner.
		holder := directory.NewView(1, fleet.frontsWithout("joiner"), virtualNodes).Holder(session)
		var others []string
		for _, name := range []string{"a", "b", "c", "d"} {
			if name != holder {
				others = append(others, name)
			}
		}
		owner, other := fleet.nodes[others[0]], others[1]
		Expect(owner.resolve(session).Owner.Local).To(BeTrue())
		fleet.nodes[holder].down = true
		view := fleet.view()
		// The owner receives the view late; until its completion, no session may be reported as not found.
		for _, name := range append([]string{"joiner", other}, others[2:]...) {
			fleet.deliver(view, name)
		}
		answer, _, _ := joiner.directory.ServeLookup(joiner.moment(), &protocol.LookupSessionRequest{Session: session})
		Expect(answer.GetStatus()).To(Equal(protocol.DirectoryStatus_DIRECTORY_SETTLING))
		fleet.deliver(view, owner.self.Name)
		fleet.settle()
		Expect(joiner.registeredOwner(session)).To(Equal(owner.self.Name))
	})

	It("waits for every owner when the former holder leaves before its completion", func() {
		fleet := newFleet("a", "b", "c", "d")
		joiner, session := join(fleet)
		holder := directory.NewView(1, fleet.frontsWithout("joiner"), virtualNodes).Holder(session)
		var owner *member
		for _, name := range []string{"a", "b", "c", "d"} {
			if name != holder {
				owner = fleet.nodes[name]
			}
		}
		owner.resolve(session)
		fleet.publish("joiner")
		fleet.nodes[holder].down = true
		fleet.publish("joiner")
		answer, _, _ := joiner.directory.ServeLookup(joiner.moment(), &protocol.LookupSessionRequest{Session: session})
		Expect(answer.GetStatus()).To(Equal(protocol.DirectoryStatus_DIRECTORY_SETTLING))
		fleet.publish(fleet.liveNodes()...)
		fleet.settle()
		Expect(joiner.registeredOwner(session)).To(Equal(owner.self.Name))
	})
})

func (f *fleet) liveNodes() []string {
	var names []string
	for _, name := range f.names {
		if !f.nodes[name].down {
			names = append(names, name)
		}
	}
	return names
}

func (f *fleet) fronts() []directory.Front { return f.frontsWithout("") }

func (f *fleet) frontsWithout(excluded string) []directory.Front {
	var fronts []directory.Front
	for _, name := range f.liveNodes() {
		if name != excluded {
			fronts = append(fronts, directory.Front{Member: f.nodes[name].self})
		}
	}
	return fronts
}
