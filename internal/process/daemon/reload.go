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

// settingsPollInterval is the interval between checks of the settings file for changes; SIGHUP reloads it at once.
const settingsPollInterval = time.Second

// reloadableFields are the fields that can change without a restart. Founders are used
// only when a cluster is founded, so a running process has nothing to apply for them.
var reloadableFields = []protoreflect.Name{"seeds", "log_level", "founders"}

// settingsSource loads and reloads the settings of a process.
type settingsSource struct {
	// file is the path of the settings file; empty if all settings come from flags.
	file string
	// current holds the settings that were loaded last.
	current settings.Message
	// load loads the file again and overrides it by the flags.
	load func() (settings.Message, error)
	// lastStamp is the state of the file when it was last loaded.
	lastStamp fileStamp
}

// fileStamp identifies a version of a file by its metadata, without reading its content.
type fileStamp struct {
	modified time.Time
	size     int64
	exists   bool
}

func statStamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modified: info.ModTime(), size: info.Size(), exists: true}
}

// changed reports whether the file exists and has changed since the last check, and records its state.
func (s *settingsSource) changed() bool {
	stamp := statStamp(s.file)
	if stamp == s.lastStamp {
		return false
	}
	s.lastStamp = stamp
	return stamp.exists
}

// startSettingsWatch starts a goroutine that reloads the settings on a signal or when
// the file has changed; stop ends the goroutine and waits for it.
func (i *instance) startSettingsWatch(reload <-chan os.Signal) (stop func()) {
	if i.source.file == "" {
		return func() {}
	}
	done := make(chan struct{})
	var workers sync.WaitGroup
	workers.Go(func() {
		i.watchSettingsFile(reload, done)
	})
	return func() {
		close(done)
		workers.Wait()
	}
}

func (i *instance) watchSettingsFile(reload <-chan os.Signal, done <-chan struct{}) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-done:
			return
		case <-reload:
			i.source.lastStamp = statStamp(i.source.file)
			i.reloadSettings()
		case <-poll.C:
			if i.source.changed() {
				i.reloadSettings()
			}
		}
	}
}

// reloadSettings applies the reloadable fields of the settings file. An invalid file is logged and ignored.
func (i *instance) reloadSettings() {
	loaded, err := i.source.load()
	if err != nil {
		i.logger.Error("settings file rejected", "file", i.source.file, "cause", err)
		return
	}
	before := i.source.current
	if proto.Equal(before, loaded) {
		return
	}
	i.source.current = loaded
	if fields := fieldsNeedingRestart(before, loaded); len(fields) > 0 {
		i.logger.Warn("some changed settings need a restart", "fields", fields)
	}
	node := loaded.GetNode()
	if level, err := log.ParseLevel(node.GetLogLevel()); err == nil {
		i.logger.SetLevel(level)
	}
	i.process.notifySettings(node)
	i.logger.Info("settings reloaded", "seeds", node.GetSeeds(), "log_level", node.GetLogLevel())
}

// fieldsNeedingRestart lists the changed fields that take effect only after a restart.
func fieldsNeedingRestart(before, after settings.Message) []string {
	var fields []string
	settings.ForEachFieldPair(before, after, func(field protoreflect.FieldDescriptor, old, current protoreflect.Value) {
		if !old.Equal(current) && !slices.Contains(reloadableFields, field.Name()) {
			fields = append(fields, string(field.Name()))
		}
	})
	return fields
}
