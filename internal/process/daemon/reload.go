package daemon

import (
	"os"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/rosestand/rosestand/internal/process/settings"
)

// settingsPollInterval is how often the settings file is looked at for a change that no signal told of.
const settingsPollInterval = time.Second

// fieldsTaken are the fields whose changes a running process takes. Founders
// count only where a cluster is founded, so that a change of them asks for nothing.
var fieldsTaken = []protoreflect.Name{"seeds", "log_level", "founders"}

// settingsSource is where the settings of a process came from and may be read again.
type settingsSource struct {
	// file is the settings file; empty when flags say everything.
	file string
	// current are the settings in force.
	current settings.Message
	// load reads the file and the flags over it again.
	load func() (settings.Message, error)
	// seen is the file as it was when it was last read.
	seen fileStamp
}

// fileStamp tells one state of a file from another without reading it.
type fileStamp struct {
	modified time.Time
	size     int64
	exists   bool
}

func stampOf(path string) fileStamp {
	status, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modified: status.ModTime(), size: status.Size(), exists: true}
}

// changed reports whether the file differs from when it was last read, and notes what it saw.
func (s *settingsSource) changed() bool {
	stamp := stampOf(s.file)
	if stamp == s.seen {
		return false
	}
	s.seen = stamp
	return stamp.exists
}

// watchSettings reads the settings again when reload asks for it or the file
// has changed, until the function it returns is called; that one waits for the end.
func (i *instance) watchSettings(reload <-chan os.Signal) (stop func()) {
	if i.source.file == "" {
		return func() {}
	}
	ending := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		i.followSettings(reload, ending)
	})
	return func() {
		close(ending)
		running.Wait()
	}
}

func (i *instance) followSettings(reload <-chan os.Signal, ending <-chan struct{}) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ending:
			return
		case <-reload:
			i.source.seen = stampOf(i.source.file)
			i.reloadSettings()
		case <-poll.C:
			if i.source.changed() {
				i.reloadSettings()
			}
		}
	}
}

// reloadSettings takes what a running process can take from the settings file. A faulty file changes nothing.
func (i *instance) reloadSettings() {
	loaded, err := i.source.load()
	if err != nil {
		i.logger.Error("the settings file was read again and is not valid; the settings stay as they are", "cause", err)
		return
	}
	before := i.source.current
	if proto.Equal(before, loaded) {
		return
	}
	i.source.current = loaded
	if waiting := fieldsWaiting(before, loaded); len(waiting) > 0 {
		i.logger.Warn("some settings have changed that count from the next start on", "fields", waiting)
	}
	node := loaded.GetNode()
	if level, err := log.ParseLevel(node.GetLogLevel()); err == nil {
		i.logger.SetLevel(level)
	}
	i.process.announceSettings(node)
	i.logger.Info("the settings were read again", "seeds", node.GetSeeds(), "log_level", node.GetLogLevel())
}

// fieldsWaiting lists the fields that differ and that a running process does not take.
func fieldsWaiting(before, after settings.Message) []string {
	var waiting []string
	settings.ForEachFieldPair(before, after, func(field protoreflect.FieldDescriptor, old, current protoreflect.Value) {
		if !old.Equal(current) && !slices.Contains(fieldsTaken, field.Name()) {
			waiting = append(waiting, string(field.Name()))
		}
	})
	return waiting
}
