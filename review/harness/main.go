// The program harness plays the cases of the review on separate processes; run.sh of a case starts it.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// fleets is the number of deployments on which a case is played at the same time, independently of each other.
const fleets = 3

// setting is one deployment with its servers and its client.
type setting struct {
	number  int
	folder  string
	fleet   *fleet
	record  *record
	trouble bool
	servers []*server
	client  *client
}

// arrange starts the fleet and the servers, delivers the first configuration and waits until all are ready.
func arrange(number int, binary string, r *record) (*setting, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := newFleet(folder, binary, number)
	if err != nil {
		return nil, err
	}
	s := &setting{
		number: number, folder: folder, fleet: f, record: r, trouble: os.Getenv("TROUBLE") != "0", client: newClient(r),
	}
	if err := f.startAll(); err != nil {
		return s, err
	}
	status, err := operator{f.seeds}.put(2, 0, configuration())
	if err != nil || status != 200 {
		return s, fmt.Errorf("the first configuration: status %d, %v", status, err)
	}
	for number := 0; number < 6; number++ {
		started := &server{
			id: fmt.Sprintf("i-%d", number+1), service: "advisors", model: number < 3, zone: fmt.Sprintf("z%d", number%zones+1),
			record: r, control: f.seeds,
		}
		if !started.model {
			started.service = "tools"
		}
		if err := startServer(started); err != nil {
			return s, err
		}
		s.servers = append(s.servers, started)
	}
	if !f.awaitReady(20 * time.Second) {
		return s, fmt.Errorf("the front nodes did not get ready")
	}
	time.Sleep(1500 * time.Millisecond)
	return s, nil
}

func (s *setting) close() {
	for _, each := range s.servers {
		each.close()
	}
	if s.fleet != nil {
		s.fleet.stopAll()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// cases are the cases by name; each returns the exit status.
var cases = map[string]func(*setting) int{}

// longest is how long a case may take; all processes are ended then.
const longest = 114 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE BINARY RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, binary, recordPath string) int {
	run, known := cases[name]
	binary, err := filepath.Abs(binary)
	if !known || err != nil {
		fmt.Fprintln(os.Stderr, "no case", name)
		return exitFailed
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return exitFailed
	}
	settings, results := make([]*setting, fleets), make(chan int, fleets)
	var arranged sync.WaitGroup
	failed := false
	for number := range fleets {
		arranged.Go(func() {
			s, err := arrange(number, binary, r)
			settings[number] = s
			if err != nil {
				fmt.Fprintln(os.Stderr, "the case could not run:", err)
				failed = true
			}
		})
	}
	arranged.Wait()
	defer func() {
		r.end()
		for _, s := range settings {
			if s != nil {
				s.close()
			}
		}
	}()
	if failed {
		return exitFailed
	}
	for _, s := range settings {
		go func() { results <- run(s) }()
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	late := time.After(longest - time.Since(r.began))
	worst := exitHeld
	for range settings {
		select {
		case result := <-results:
			if result == exitBroken {
				return exitBroken
			}
			worst = max(worst, result)
		case <-stop:
			return exitFailed
		case <-late:
			fmt.Fprintln(os.Stderr, "the case could not run: it took too long")
			return exitFailed
		}
	}
	return worst
}
