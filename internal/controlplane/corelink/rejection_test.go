package corelink_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/protocol"
)

func TestGivenARejectionWithAReasonThenItBacksOffAndLogsItOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, core := NewWithT(t), newFakeCore()
		core.rejectRenewals, core.rejection = true, &protocol.Refusal{
			Code: "lease_refused", Message: "store \"store-1\" was retired",
		}
		var lines bytes.Buffer
		link := corelink.New(corelink.Options{
			Self:   &protocol.Node{Name: "store-1", Kind: protocol.NodeKind_STORE, Incarnation: 5, Address: "10.0.0.5:1"},
			Seeds:  []string{seedAddress},
			Caller: core, Logger: log.New(&lines),
		})
		g.Expect(link.Start(context.Background())).To(Succeed())
		advance(2 * time.Minute)
		before := core.renewalCount()
		advance(5 * time.Minute)
		g.Expect(core.renewalCount()-before).To(
			And(BeNumerically(">=", 10), BeNumerically("<=", 21)), "renewals must be sent every 15 to 30 seconds",
		)
		core.set(func() { core.rejectRenewals, core.rejection = false, nil })
		advance(31 * time.Second)
		g.Expect(link.HasAuthority()).To(BeTrue())
		core.set(func() {
			core.rejectRenewals, core.rejection = true, &protocol.Refusal{Code: "lease_refused", Message: "rejected again"}
		})
		advance(2 * time.Second)
		g.Expect(link.HasAuthority()).To(BeFalse())
		g.Expect(link.Stop(context.Background())).To(Succeed())
		g.Expect(strings.Count(lines.String(), "was retired")).To(Equal(1), lines.String())
		g.Expect(strings.Count(lines.String(), "rejected again")).To(Equal(1), lines.String())
		g.Expect(strings.Count(lines.String(), "\n")).To(BeNumerically("<=", 5), lines.String())
	})
}

func TestGivenNoCoreThatAnswersWhenStoppedThenItDoesNotWaitForOne(t *testing.T) {
	for name, disable := range map[string]func(*fakeCore){
		"no process listens": func(core *fakeCore) {
			core.down = map[string]bool{firstLeader: true, secondLeader: true, seedAddress: true, "10.0.0.8:1": true}
		},
		"no call is answered": func(core *fakeCore) { core.delay = time.Hour },
	} {
		t.Run(name, func(t *testing.T) {
			withLink(t, func(g *WithT, core *fakeCore, link *corelink.Link) {
				core.set(func() { disable(core) })
				advance(300 * time.Millisecond)
				start := time.Now()
				g.Expect(link.Stop(context.Background())).To(Succeed())
				g.Expect(time.Since(start)).To(BeNumerically("<=", 1100*time.Millisecond))
				g.Expect(link.HasAuthority()).To(BeFalse())
			})
		})
	}
}
