package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["rolling-stores"] = rollingStores }

const (
	// pause is the time for which a store is back before the next one is killed: CatchUpS and a little more.
	pause = 4400 * time.Millisecond
	// turnBytes is the input of one turn, a quarter of MaxBodyBytes.
	turnBytes   = 1 << 20
	callers     = 16
	lastRound   = 85 * time.Second
	maxLoad     = 8 * time.Second
	minTurns    = 16
	retention   = retentionSeconds * time.Second
	wholeEvents = 4
)

// indexFiles lists the indexes beside the log of turns of a store.
func indexFiles(f *fleet, store string) map[string]bool {
	found := map[string]bool{}
	entries, _ := os.ReadDir(filepath.Join(f.folder, store, "data", "ledger", "turns"))
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), ".snapshot") {
			found[entry.Name()] = true
		}
	}
	return found
}

func hasNew(known, found map[string]bool) bool {
	for name := range found {
		if !known[name] {
			return true
		}
	}
	return false
}

// keptTurn is a turn that its client got whole.
type keptTurn struct {
	turn
	ended time.Time
}

// load sends first turns from several callers until stop is closed, and returns those answered whole.
func (s *setting) load(prefix string, stop <-chan struct{}) []keptTurn {
	var mutex sync.Mutex
	var kept []keptTurn
	var group sync.WaitGroup
	fronts := s.fleet.frontAddresses()
	filling := bytes.Repeat([]byte("x"), turnBytes)
	for number := range callers {
		group.Go(func() {
			for count := 0; ; count++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%s-%d-%d", prefix, number, count)
				sent := turn{id: id, program: "p-" + id, session: "s-" + id, body: append([]byte(id+" "), filling...)}
				seen := s.client.recorded(fronts[(number+count)%len(fronts)], "/turns/a", sent, 9*time.Second)
				if seen.status == 0 {
					time.Sleep(50 * time.Millisecond)
				}
				if seen.status == 200 && seen.signature != "" && seen.whole && len(seen.events) == wholeEvents {
					mutex.Lock()
					kept = append(kept, keptTurn{turn: sent, ended: seen.ended})
					mutex.Unlock()
				}
			}
		})
	}
	group.Wait()
	return kept
}

// disrupt does something to a process unless the case runs without its disruption.
func (s *setting) disrupt(what, process string, do func()) {
	if !s.trouble {
		return
	}
	s.record.add("trouble %s %s", what, process)
	do()
}

// rollingStores kills the stores in turn. At most one is down at a time, and the next one is killed only after the one
// before has been back for longer than CatchUpS. Turns are answered while the first is down, the second is killed and
// started, and programs go on from the turns while the third is down, which stays down as the first of the next round.
func rollingStores(s *setting) int {
	first, second, third := "storage-z3-1-store", "storage-z1-1-store", "storage-z2-1-store"
	began, broken := time.Now(), 0
	s.disrupt("kill", first, func() { s.fleet.kill(first) })
	for round := 0; broken == 0 && time.Since(began) < lastRound; round++ {
		kept := s.loadUntilIndexed(second, round)
		s.record.add("note    round %d: %d turns were answered whole", round, len(kept))
		if len(kept) < minTurns {
			fmt.Fprintln(os.Stderr, "the case could not run: too few turns were answered")
			return exitFailed
		}
		s.disrupt("start", first, func() { _ = s.fleet.start(first, false) })
		time.Sleep(pause)
		s.disrupt("kill and start", second, func() { s.fleet.kill(second); _ = s.fleet.start(second, false) })
		time.Sleep(pause)
		s.disrupt("kill", third, func() { s.fleet.kill(third) })
		broken = s.continueAll(kept, round)
		first, second, third = third, first, second
	}
	if len(s.fleet.unexpected) > 0 {
		s.record.add("note    processes that ended by themselves: %v", s.fleet.unexpected)
	}
	fmt.Printf("fleet %d: %d turns answered whole within the retention were answered 404 or 410\n", s.number, broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// loadUntilIndexed sends turns until the store has written an index of them, which it does about every 32 MiB.
func (s *setting) loadUntilIndexed(store string, round int) []keptTurn {
	known := indexFiles(s.fleet, store)
	stop, loaded := make(chan struct{}), make(chan []keptTurn, 1)
	go func() { loaded <- s.load(fmt.Sprintf("f%d-t%d", s.number, round), stop) }()
	for deadline := time.Now().Add(maxLoad); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if hasNew(known, indexFiles(s.fleet, store)) {
			break
		}
	}
	close(stop)
	return <-loaded
}

// continueAll lets a sub-agent of each program go on from its turn, and counts the answers 404 and 410.
func (s *setting) continueAll(kept []keptTurn, round int) int {
	fronts := s.fleet.frontAddresses()
	var mutex sync.Mutex
	var group sync.WaitGroup
	missing, statuses, tokens := 0, map[int]int{}, make(chan struct{}, callers)
	for number, previous := range kept {
		tokens <- struct{}{}
		group.Go(func() {
			defer func() { <-tokens }()
			next := turn{
				id: "n-" + previous.id, program: previous.program, session: "sub-" + previous.session, previous: previous.id,
				body: []byte("go on"),
			}
			sent := time.Now()
			seen := s.client.recorded(fronts[number%len(fronts)], "/turns/a", next, 5*time.Second)
			mutex.Lock()
			defer mutex.Unlock()
			statuses[seen.status]++
			if (seen.status == 404 || seen.status == 410) && seen.ended.Sub(previous.ended) < retention {
				missing++
				s.record.add("BROKEN  turn %s was answered whole %.1f s before %s was sent, which was answered %d",
					previous.id, sent.Sub(previous.ended).Seconds(), next.id, seen.status)
			}
		})
	}
	group.Wait()
	s.record.add("note    round %d: answers by status %v, 404 or 410 within the retention: %d", round, statuses, missing)
	fmt.Printf("fleet %d, round %d: %d turns answered whole, then gone on from: %v\n", s.number, round, len(kept), statuses)
	return missing
}
