package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["added-stores"] = addedStores }

const (
	// machinesAdded is how many store machines are added, one after the other; a site has four to spare.
	machinesAdded = 4
	// ownEnds is how often a process has to end by itself, and enoughMachines on how many machines, to break the rule.
	ownEnds        = 3
	enoughMachines = 2
	// afterTrouble is how long after a disruption an end counts as the process's own.
	afterTrouble = 1100 * time.Millisecond
	restartDelay = 500 * time.Millisecond
)

// addedStores adds empty store machines, one after the other, and kills the process of each once, while it starts for the
// first time. The platform starts a process that has ended again.
func addedStores(s *setting) int {
	broken := 0
	for number := range machinesAdded {
		zone := fmt.Sprintf("z%d", number%zones+1)
		added := s.fleet.find("storage-" + zone + "-1-store")
		added.machine = fmt.Sprintf("storage-%s-%d", zone, 2+number/zones)
		added.ip = added.ip[:strings.LastIndexByte(added.ip, '.')] + fmt.Sprintf(".%d", 3+number/zones)
		s.fleet.roles = append(s.fleet.roles, added)
		if s.endsByItself(added.id()) {
			broken++
		}
	}
	fmt.Printf("on %d of %d added machines the process ended by itself %d times\n", broken, machinesAdded, ownEnds)
	if broken >= enoughMachines {
		return exitBroken
	}
	return exitHeld
}

// endsByItself starts a process on an empty disk, kills it once during that start, and reports whether it then ends by
// itself each time it is started.
func (s *setting) endsByItself(id string) bool {
	_ = s.fleet.start(id, false)
	s.record.add("start   %s with an empty disk", id)
	if s.trouble {
		s.awaitIdentity(id)
		s.disrupt("kill", id, func() { s.fleet.kill(id) })
		time.Sleep(afterTrouble)
		_ = s.fleet.start(id, false)
		s.record.add("start   %s", id)
	}
	for count := 1; ; count++ {
		s.fleet.mutex.Lock()
		ended := s.fleet.ended[id]
		s.fleet.mutex.Unlock()
		select {
		case <-ended:
		case <-time.After(2 * time.Second):
			s.record.add("note    %s is running", id)
			return false
		}
		s.record.add("BROKEN  %s ended by itself: %s", id, s.lastLine(id))
		if count == ownEnds {
			return true
		}
		time.Sleep(restartDelay)
		_ = s.fleet.start(id, false)
		s.record.add("start   %s", id)
	}
}

// awaitIdentity returns when the process has written the identity of its ledger, before it makes the folders of its logs.
func (s *setting) awaitIdentity(id string) {
	identity := filepath.Join(s.fleet.folder, id, "data", "ledger", "identity")
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); {
		if _, err := os.Stat(identity); err == nil {
			return
		}
	}
}

func (s *setting) lastLine(id string) string {
	text, _ := os.ReadFile(filepath.Join(s.fleet.folder, id, "log"))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	last := lines[len(lines)-1]
	if cut := strings.LastIndex(last, "received non-nil error"); cut >= 0 {
		last = last[cut:]
	}
	return strings.ReplaceAll(last, s.fleet.folder, "FOLDER")
}
