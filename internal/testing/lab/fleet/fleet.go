// Package fleet is the rig that brings up a whole fleet on loopback as separate
// processes, with stand-ins behind it, and takes it down again.
package fleet

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/rosestand/rosestand/internal/testing/lab/caller"
	"github.com/rosestand/rosestand/internal/testing/lab/modelserver"
	"github.com/rosestand/rosestand/internal/testing/lab/relay"
	"github.com/rosestand/rosestand/internal/testing/lab/site"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
	"github.com/rosestand/rosestand/internal/testing/subprocess"
)

// Options describe a fleet.
type Options struct {
	Sizes site.Sizes
	// Folder takes settings, secrets, data, logs and journals of the run.
	Folder string
	// Binaries is the folder of the daemons.
	Binaries string
	// FirstFrontHTTP and FirstCoreHTTP are fixed addresses; empty takes free ones.
	FirstFrontHTTP string
	FirstCoreHTTP  string
	LogLevel       string
	Rates          modelserver.Rates
	Faults         standin.FaultPlan
	// Relays puts a relay before the internal address of every daemon, so that links can be partitioned.
	Relays bool
	// Environment is added to the environment of the processes of each kind.
	Environment map[Kind][]string
	Logger      *log.Logger
}

// Fleet is a set of processes under one rig. Its methods are for one goroutine
// at a time.
type Fleet struct {
	options   Options
	secrets   *secrets
	spawner   *subprocess.Spawner
	members   []*Member
	processes map[string]*subprocess.Process
	// network is nil without relays; names tells it which process has which id.
	network *relay.Network
	names   atomic.Pointer[map[int]string]
	// founders are the first voters' addresses; they stay although machines are replaced.
	foundersAtStart []string
	replaced        int
}

const (
	startDeadline = 45 * time.Second
	stopGrace     = 15 * time.Second
	backEndGrace  = 8 * time.Second
)

// New prepares folders, secrets, addresses and settings; nothing is started.
func New(ctx context.Context, options Options) (*Fleet, error) {
	folder, err := filepath.Abs(options.Folder)
	if err != nil {
		return nil, errors.Wrap(err, "run folder")
	}
	options.Folder = folder
	for _, sub := range []string{"settings", "data", "logs", "journals", "secrets"} {
		if err := os.MkdirAll(filepath.Join(folder, sub), 0o755); err != nil {
			return nil, errors.Wrap(err, "make run folder")
		}
	}
	f := &Fleet{options: options, processes: map[string]*subprocess.Process{}}
	if f.secrets, err = makeSecrets(filepath.Join(folder, "secrets")); err != nil {
		return nil, err
	}
	source := rand.NewPCG(uint64(time.Now().UnixNano()), uint64(os.Getpid()))
	if f.members, err = layout(ctx, options, rand.New(source)); err != nil {
		return nil, err
	}
	if err := f.addRelays(ctx, f.members...); err != nil {
		return nil, err
	}
	f.foundersAtStart = f.founders()
	for _, member := range f.members {
		if err := f.writeSettings(member); err != nil {
			return nil, err
		}
	}
	f.spawner = subprocess.NewSpawner()
	return f, nil
}

// Folder is the folder of the run.
func (f *Fleet) Folder() string { return f.options.Folder }

// Members lists the members of a kind; no kind lists all.
func (f *Fleet) Members(kinds ...Kind) []*Member {
	var members []*Member
	for _, member := range f.members {
		if len(kinds) == 0 || slices.Contains(kinds, member.Kind) {
			members = append(members, member)
		}
	}
	return members
}

// Process is the process of a member as of its last start, nil before the first.
func (f *Fleet) Process(member *Member) *subprocess.Process { return f.processes[member.Name] }

// FrontAddresses lists the HTTP addresses of the front nodes.
func (f *Fleet) FrontAddresses() []string {
	var addresses []string
	for _, member := range f.Members(KindFront) {
		addresses = append(addresses, member.HTTP)
	}
	return addresses
}

// Fronts lists the front nodes as callers see them.
func (f *Fleet) Fronts() []caller.Front {
	var fronts []caller.Front
	for _, member := range f.Members(KindFront) {
		fronts = append(fronts, caller.Front{Address: member.HTTP, Zone: member.Zone})
	}
	return fronts
}

// Credentials are those of the tenants.
func (f *Fleet) Credentials() map[string]string { return f.secrets.credentials }

// Start brings up the kinds in their order and waits for each to be ready.
// Front nodes become ready only when a bundle is in force.
func (f *Fleet) Start(ctx context.Context, kinds ...Kind) error {
	ctx, cancel := context.WithTimeout(ctx, startDeadline)
	defer cancel()
	for _, kind := range kinds {
		begun := time.Now()
		for _, member := range f.Members(kind) {
			if err := f.StartMember(member); err != nil {
				return err
			}
		}
		if err := f.AwaitReady(ctx, f.Members(kind)...); err != nil {
			return err
		}
		f.options.Logger.Info("processes became ready", "kind", kind, "processes", len(f.Members(kind)), "after",
			time.Since(begun).Round(time.Millisecond))
	}
	return nil
}

// StartMember starts the process of a member without waiting for it to be ready.
func (f *Fleet) StartMember(member *Member) error {
	binary := "rosestand-" + string(member.Kind)
	arguments := []string{"--settings", f.settingsFile(member)}
	if member.Kind == KindBackEnd {
		binary = "rosestand-lab"
		arguments = append([]string{"backends"}, arguments...)
	}
	started, err := f.spawner.Start(subprocess.Spec{
		Name: member.Name, Binary: filepath.Join(f.options.Binaries, binary), Args: arguments,
		LogFile: f.LogFile(member), Folder: f.options.Folder, Environment: f.options.Environment[member.Kind],
	})
	if err != nil {
		return err
	}
	f.processes[member.Name] = started
	f.publishNames()
	return nil
}

// EmptyData removes the data folder of a member whose process has ended.
func (f *Fleet) EmptyData(member *Member) error {
	if p := f.Process(member); p != nil && p.Running() {
		return &RunningError{Name: member.Name}
	}
	return errors.Wrap(os.RemoveAll(f.dataFolder(member)), "empty data folder")
}

// RunningError says that a process has to be stopped first.
type RunningError struct{ Name string }

// Error implements error.
func (e *RunningError) Error() string { return e.Name + " is running" }

// Stopped is the number of processes that had to be killed.
type Stopped struct {
	Gentle int
	Killed []string
}

// Stop takes the fleet down, kind by kind in the reverse order of the start,
// gently and then firmly. It is safe to call at any time.
func (f *Fleet) Stop() (Stopped, error) {
	var total Stopped
	var failed error
	for _, kind := range []Kind{KindBackEnd, KindFront, KindStore, KindCore} {
		killed, gentle, err := f.stopKind(kind)
		total.Gentle += gentle
		total.Killed = append(total.Killed, killed...)
		failed = errors.CombineErrors(failed, err)
	}
	f.spawner.Close()
	if f.network != nil {
		f.network.Close()
	}
	return total, failed
}

func (f *Fleet) stopKind(kind Kind) (killed []string, gentle int, err error) {
	grace := stopGrace
	if kind == KindBackEnd {
		grace = backEndGrace
	}
	members := f.Members(kind)
	byItself := make([]bool, len(members))
	var group errgroup.Group
	for i, member := range members {
		p := f.Process(member)
		if p == nil || !p.Running() {
			byItself[i] = true
			continue
		}
		group.Go(func() error {
			if err := p.Thaw(); err != nil {
				return err
			}
			var err error
			byItself[i], err = p.Stop(grace)
			return err
		})
	}
	err = group.Wait()
	for i, member := range members {
		if byItself[i] {
			gentle++
		} else {
			killed = append(killed, member.Name)
		}
	}
	return killed, gentle, err
}

// CheckRunning returns an error for the first process that ended unasked.
func (f *Fleet) CheckRunning() error {
	for _, member := range f.members {
		if p := f.Process(member); p != nil && !p.Running() {
			return p.UnexpectedExit()
		}
	}
	return nil
}

// MissingBinaryError names a program that is not where the rig looks for it.
type MissingBinaryError struct{ Path string }

// Error implements error.
func (e *MissingBinaryError) Error() string {
	return e.Path + " is missing; run make build"
}

// CheckBinaries looks for the programs that a fleet is made of.
func CheckBinaries(folder string) error {
	for _, name := range []string{"rosestand", "rosestand-core", "rosestand-front", "rosestand-store", "rosestand-lab"} {
		path := filepath.Join(folder, name)
		if _, err := os.Stat(path); err != nil {
			return &MissingBinaryError{Path: path}
		}
	}
	return nil
}
