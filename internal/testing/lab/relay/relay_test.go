package relay_test

import (
	"bufio"
	"io"
	"net"
	"os"
	"testing"

	"go.uber.org/goleak"

	"github.com/rosestand/rosestand/internal/testing/lab/relay"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// echo answers each line with itself on one connection and reports what it received.
func echo(listener net.Listener, got chan<- string) {
	connection, err := listener.Accept()
	if err != nil {
		return
	}
	defer connection.Close()
	lines := bufio.NewScanner(connection)
	for lines.Scan() {
		got <- lines.Text()
		if _, err := io.WriteString(connection, lines.Text()+"\n"); err != nil {
			return
		}
	}
}

func TestPartitionedLinksDelayBytesUntilTheyHeal(t *testing.T) {
	defer goleak.VerifyNone(t)
	server, front := listen(t), listen(t)
	defer server.Close()
	got := make(chan string, 10)
	go echo(server, got)
	network := relay.NewNetwork(func(net.Addr) string { return "a" })
	network.Relay(front, "b", server.Addr().String())
	connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", front.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	answers := bufio.NewReader(connection)
	exchange := func(line string) {
		t.Helper()
		if answer, err := answers.ReadString('\n'); err != nil || answer != line+"\n" {
			t.Fatalf("answer %q, %v", answer, err)
		}
	}
	send := func(line string) {
		if _, err := io.WriteString(connection, line+"\n"); err != nil {
			t.Fatal(err)
		}
	}
	send("one")
	<-got
	exchange("one")

	// The link back is partitioned: the request arrives, the answer does not.
	network.SetPartition(true, relay.Link{From: "b", To: "a"})
	send("two")
	if line := <-got; line != "two" {
		t.Fatal(line)
	}
	if answers.Buffered() != 0 {
		t.Fatal("an answer crossed the partitioned link")
	}
	network.SetPartition(false, relay.Link{From: "b", To: "a"})
	exchange("two")

	// All links to b are partitioned: nothing arrives.
	network.SetPartition(true, relay.Link{To: "b"})
	send("three")
	if len(got) != 0 {
		t.Fatal("a request crossed the partitioned link")
	}
	network.SetPartition(false, relay.Link{To: "b"})
	<-got
	exchange("three")
	network.Close()
	if _, err := answers.ReadString('\n'); err == nil {
		t.Fatal("the connection outlived its relay")
	}
	connection.Close()
}

func TestProcessBehindAConnectionIsFound(t *testing.T) {
	listener := listen(t)
	defer listener.Close()
	connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if id := relay.ProcessOf(connection.LocalAddr(), []int{1, os.Getpid()}); id != os.Getpid() {
		t.Fatalf("found %d, want %d", id, os.Getpid())
	}
	if id := relay.ProcessOf(connection.LocalAddr(), nil); id != 0 {
		t.Fatalf("found %d among none", id)
	}
}
