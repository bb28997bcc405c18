package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// role is one process of a machine.
type role struct {
	machine, kind, ip, zone string
}

func (r role) id() string { return r.machine + "-" + r.kind }

// fleet is a small deployment of the project's programs: in each of three zones an edge machine
// with a core and a front process, and a storage machine with a store process.
type fleet struct {
	folder, binary string
	ports          [5]int
	roles          []role
	seeds          []string
	mutex          sync.Mutex
	processes      map[string]*exec.Cmd
	ended          map[string]chan struct{}
	// intended has the processes that the test itself ended.
	intended map[string]bool
	// closed is true once all processes are to end; none is started from then on.
	closed bool
	// unexpected are the processes that ended by themselves.
	unexpected []string
}

const zones = 3

func newFleet(folder, binary string, number int) (*fleet, error) {
	f := &fleet{
		folder: folder, binary: binary, processes: map[string]*exec.Cmd{}, ended: map[string]chan struct{}{},
		intended: map[string]bool{},
	}
	for i := range f.ports {
		listener, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		f.ports[i] = listener.Addr().(*net.TCPAddr).Port
	}
	network := 20 + (os.Getpid()+number)%200
	for zone := 1; zone <= zones; zone++ {
		name := fmt.Sprintf("z%d", zone)
		edge := fmt.Sprintf("127.%d.%d.1", network, zone)
		store := fmt.Sprintf("127.%d.%d.2", network, zone)
		f.roles = append(f.roles,
			role{machine: "edge-" + name + "-1", kind: "core", ip: edge, zone: name},
			role{machine: "edge-" + name + "-1", kind: "front", ip: edge, zone: name},
			role{machine: "storage-" + name + "-1", kind: "store", ip: store, zone: name})
		f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", edge, f.ports[2]))
	}
	return f, nil
}

// settings returns the role's settings as its template under deploy/platform makes them.
func (f *fleet) settings(r role, bootstrap bool) map[string]any {
	at := func(port int) string { return net.JoinHostPort(r.ip, strconv.Itoa(port)) }
	node := map[string]any{
		"name": r.machine, "zone": r.zone, "region": "r1", "seeds": f.seeds, "seed_port": f.ports[3],
		"trust_network": true, "kill_after_millis": 8000, "log_format": "json",
	}
	data := filepath.Join(f.folder, r.id(), "data")
	switch r.kind {
	case "core":
		node["name"] = r.machine + "-core"
		node["internal_address"], node["http_address"], node["data_folder"] = at(f.ports[3]), at(f.ports[2]), data
		var founders []string
		if bootstrap {
			founders = f.seeds
		}
		return map[string]any{
			"node": node, "founders": founders, "zone_regions": []string{"z1=r1", "z2=r1", "z3=r1"},
			"tolerated_losses": 1, "trust_operators": true, "election_timeout_millis": 300, "heartbeat_millis": 60,
			"replace_voter_millis": 1500, "max_body_bytes": 33554432,
		}
	case "front":
		node["internal_address"], node["http_address"] = at(f.ports[4]), at(f.ports[1])
		return map[string]any{"node": node, "traffic_address": at(f.ports[0])}
	default:
		node["internal_address"], node["http_address"], node["data_folder"] = at(f.ports[4]), at(f.ports[3]), data
		return map[string]any{"node": node}
	}
}

func (f *fleet) find(id string) role {
	for _, r := range f.roles {
		if r.id() == id {
			return r
		}
	}
	panic("no role " + id)
}

func (f *fleet) start(id string, bootstrap bool) error {
	r := f.find(id)
	folder := filepath.Join(f.folder, id)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(f.settings(r, bootstrap), "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(folder, "node.json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(f.binary, r.kind)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names["settings variable"] + "=" + path}
	command.Stdout, command.Stderr, command.Dir = log, log, folder
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	done := make(chan struct{})
	f.mutex.Lock()
	if f.closed {
		f.mutex.Unlock()
		return os.ErrClosed
	}
	if err := command.Start(); err != nil {
		f.mutex.Unlock()
		return err
	}
	f.processes[id], f.ended[id], f.intended[id] = command, done, false
	f.mutex.Unlock()
	go func() {
		_ = command.Wait()
		f.mutex.Lock()
		if f.processes[id] == command && !f.intended[id] {
			f.unexpected = append(f.unexpected, id+": "+command.ProcessState.String())
		}
		f.mutex.Unlock()
		close(done)
	}()
	return nil
}

func (f *fleet) startAll() error {
	for _, r := range f.roles {
		if err := f.start(r.id(), true); err != nil {
			return err
		}
	}
	return nil
}

// kill ends a process by SIGKILL and waits until it is gone.
func (f *fleet) kill(id string) {
	f.mutex.Lock()
	command, done := f.processes[id], f.ended[id]
	f.intended[id] = true
	f.mutex.Unlock()
	_ = command.Process.Kill()
	<-done
}

func (f *fleet) signal(id string, signal syscall.Signal) {
	f.mutex.Lock()
	command := f.processes[id]
	f.mutex.Unlock()
	_ = command.Process.Signal(signal)
}

// stopAll ends all processes.
func (f *fleet) stopAll() {
	f.mutex.Lock()
	f.closed = true
	var ids []string
	for id := range f.processes {
		ids = append(ids, id)
	}
	f.mutex.Unlock()
	for _, id := range ids {
		f.kill(id)
	}
}

func (f *fleet) ofKind(kind string) []role {
	var found []role
	for _, r := range f.roles {
		if r.kind == kind {
			found = append(found, r)
		}
	}
	return found
}

func (f *fleet) frontAddresses() []string {
	var addresses []string
	for _, r := range f.ofKind("front") {
		addresses = append(addresses, net.JoinHostPort(r.ip, strconv.Itoa(f.ports[0])))
	}
	return addresses
}

// ready reports whether all front nodes answer their readiness check with 200.
func (f *fleet) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, r := range f.ofKind("front") {
		answer, err := client.Get("http://" + net.JoinHostPort(r.ip, strconv.Itoa(f.ports[1])) + "/readyz")
		if err != nil {
			return false
		}
		answer.Body.Close()
		if answer.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

func (f *fleet) awaitReady(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if f.ready() {
			return true
		}
	}
	return false
}
