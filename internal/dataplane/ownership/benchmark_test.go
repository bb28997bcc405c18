package ownership_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/rosestand/rosestand/internal/controlplane/corelink"
	"github.com/rosestand/rosestand/internal/dataplane/ownership"
	"github.com/rosestand/rosestand/internal/protocol"
)

// BenchmarkOwnedTurn measures what ownership adds to a turn of a locally owned session: Resolve, Begin, Valid and End.
func BenchmarkOwnedTurn(b *testing.B) {
	self := &protocol.Node{Name: "a", Address: "a", Kind: protocol.NodeKind_FRONT, Incarnation: 1}
	link := &fakeLink{
		view:      &corelink.View{Membership: &protocol.MembershipView{Version: 1, Nodes: []*protocol.Node{self}}},
		authority: &corelink.Authority{Self: self, ExpiresAt: time.Now().Add(time.Hour)},
	}
	manager := ownership.New(ownership.Options{Link: link, Caller: &fleet{}, Logger: log.New(io.Discard)})
	if err := manager.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = manager.Stop(context.Background()) }()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := manager.Resolve(context.Background(), "session", "program"); err != nil {
			b.Fatal(err)
		}
		grant, err := manager.Begin("session")
		if err != nil || !grant.Valid() {
			b.Fatalf("Begin returned the error %v or an invalid grant", err)
		}
		grant.End()
	}
}
