package corelink_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestGivenAnUnresponsiveSeedWhenTheOtherStartsLateThenItDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		core := newFakeCore()
		core.unresponsive = map[string]bool{"10.0.0.8:1": true}
		core.down[seedAddress] = true
		link := newLink(core)
		g.Expect(link.Start(context.Background())).To(Succeed())
		defer func() {
			_ = link.Stop(context.Background())
			advance(2 * time.Hour)
		}()
		advance(100 * time.Millisecond)
		g.Expect(link.Ready()).To(BeFalse())
		core.mutex.Lock()
		core.down[seedAddress] = false
		core.mutex.Unlock()
		advance(200 * time.Millisecond)
		g.Expect(link.Ready()).To(BeTrue(), "the seed that answers now must be queried again")
	})
}
