package wire_test

import (
	"context"
	"net"
	"testing"

	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

// BenchmarkCall measures one lookup of a session over loopback, with client and server in this process.
func BenchmarkCall(b *testing.B) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	answer := &protocol.Response{Body: &protocol.Response_LookupSession{LookupSession: &protocol.LookupSessionResponse{
		Status: protocol.DirectoryStatus_DIRECTORY_OK, ViewVersion: 1, Registration: registration("b"),
	}}}
	server := wire.NewServer(listener,
		handlerFunc(func(_ context.Context, _ *protocol.Request, send func(*protocol.Response) error) error {
			return send(answer)
		}), wire.ServerOptions{Key: testKey})
	server.Start()
	defer server.Close()
	pool := wire.NewPool(wire.PoolOptions{Key: testKey, Node: "bench"})
	defer pool.Close()
	request := &protocol.Request{Body: &protocol.Request_LookupSession{LookupSession: &protocol.LookupSessionRequest{
		Session: "session", ViewVersion: 1, Registration: registration("a"),
	}}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := pool.Call(context.Background(), listener.Addr().String(), request); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(pool.Counters().SentFrames.Load())/float64(b.N), "frames-out/op")
	b.ReportMetric(float64(server.Counters().SentFrames.Load())/float64(b.N), "frames-back/op")
}

func registration(owner string) *protocol.Registration {
	return &protocol.Registration{
		Session: "session", Program: "program", Owner: owner, OwnerIncarnation: 1893452757352, ViewVersion: 1, Sequence: 7,
	}
}
