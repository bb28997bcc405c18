// Package backends runs any number of emulated model servers and tool servers
// in one process.
package backends

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/testing/lab/modelserver"
	"github.com/rosestand/rosestand/internal/testing/lab/standin"
)

// Settings describe the stand-ins of one process.
type Settings struct {
	// Fronts are the HTTP addresses (ip:port) of front nodes to announce to.
	Fronts []string `json:"fronts"`
	// JournalFolder takes one journal a server.
	JournalFolder string   `json:"journal_folder"`
	Servers       []Server `json:"servers"`
}

// Server describes one stand-in.
type Server struct {
	ID string `json:"id"`
	// Kind is MODEL_SERVER or TOOL_SERVER.
	Kind    string `json:"kind"`
	Address string `json:"address"`
	// AdvertisedAddress is announced in place of Address when set.
	AdvertisedAddress string            `json:"advertised_address,omitempty"`
	Zone              string            `json:"zone"`
	Region            string            `json:"region"`
	Group             string            `json:"group"`
	Models            []string          `json:"models,omitempty"`
	Tools             []string          `json:"tools,omitempty"`
	Rates             modelserver.Rates `json:"rates"`
	// WorkMicros and Capacity are those of a tool server.
	WorkMicros int               `json:"work_micros,omitempty"`
	Capacity   int               `json:"capacity,omitempty"`
	Faults     standin.FaultPlan `json:"faults"`
}

// SettingsError names the field at fault.
type SettingsError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *SettingsError) Error() string { return fmt.Sprintf("%s: %s", e.Path, e.Reason) }

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	var settings Settings
	if err := decoder.Decode(&settings); err != nil {
		return nil, errors.Wrap(err, "decode settings")
	}
	return &settings, settings.Validate()
}

// Validate checks the settings as a whole.
func (s *Settings) Validate() error {
	var failed error
	fault := func(path, reason string) {
		failed = errors.CombineErrors(failed, &SettingsError{Path: path, Reason: reason})
	}
	if len(s.Fronts) == 0 {
		fault("fronts", "is empty")
	}
	if s.JournalFolder == "" {
		fault("journal_folder", "is empty")
	}
	if len(s.Servers) == 0 {
		fault("servers", "is empty")
	}
	for i := range s.Servers {
		server := &s.Servers[i]
		path := fmt.Sprintf("servers[%d]", i)
		if server.ID == "" {
			fault(path+".id", "is empty")
		}
		if server.Kind != standin.KindModelServer && server.Kind != standin.KindToolServer {
			fault(path+".kind", "is neither MODEL_SERVER nor TOOL_SERVER")
		}
		if err := server.Faults.Validate(); err != nil {
			fault(path+".faults", err.Error())
		}
	}
	return failed
}
