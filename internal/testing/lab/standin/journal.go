package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Phase is the kind of a journal entry.
type Phase string

// Phases of a request on a stand-in, and of the server itself.
const (
	// PhaseStarted is written before anything of a request is run.
	PhaseStarted Phase = "started"
	// PhaseFinished closes a started run and says how far it came.
	PhaseFinished Phase = "finished"
	// PhaseRefused is a request of which nothing was run.
	PhaseRejected Phase = "refused"
	// PhaseDrainAcknowledged is the moment a front node acknowledged that the server leaves.
	PhaseDrainAcknowledged Phase = "drain_acknowledged"
	// PhaseReady is a start of the server, which ends an earlier drain.
	PhaseReady Phase = "ready"
)

// Entry is one line of the journal of a stand-in.
type Entry struct {
	Phase     Phase  `json:"phase"`
	AtMicros  int64  `json:"at_micros"`
	Server    string `json:"server"`
	Start     uint64 `json:"start"`
	Serial    uint64 `json:"serial,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	Session   string `json:"session,omitempty"`
	Epoch     uint64 `json:"epoch,omitempty"`
	Nonce     string `json:"nonce,omitempty"`
	// ArrivedMicros is when the request reached the server; it may have waited since.
	ArrivedMicros int64 `json:"arrived_micros,omitempty"`
	// Run counts how often this server has seen the request, from 1.
	Run int `json:"run,omitempty"`
	// Tool is empty for a turn; Object is the thing a call changes.
	Tool   string `json:"tool,omitempty"`
	Object string `json:"object,omitempty"`
	// Tokens written to the front node.
	Tokens int `json:"tokens,omitempty"`
	// Reason of a rejection, or how a run ended.
	Reason string `json:"reason,omitempty"`
	Fault  Fault  `json:"fault,omitempty"`
}

// ArrivedAt is when the request reached the server.
func (e *Entry) ArrivedAt() time.Time { return time.UnixMicro(e.ArrivedMicros) }

// At is the time of the entry.
func (e *Entry) At() time.Time { return time.UnixMicro(e.AtMicros) }

// Journal takes the entries of one server. It is safe for use by many goroutines
// when its writer takes each Write whole, as a file opened for appending does.
type Journal struct {
	server string
	start  uint64
	writer io.Writer
	now    func() time.Time
}

// NewJournal writes the entries of a server to the writer, one JSON line in one Write each.
// Start tells the starts of the same server apart.
func NewJournal(server string, start uint64, writer io.Writer, now func() time.Time) *Journal {
	return &Journal{server: server, start: start, writer: writer, now: now}
}

// OpenJournalFile opens the journal file of a server in the folder for appending.
func OpenJournalFile(folder, server string) (*os.File, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "make journal folder")
	}
	path := filepath.Join(folder, server+journalSuffix)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	return file, errors.Wrap(err, "open journal")
}

const journalSuffix = ".jsonl"

// Append stamps the entry and writes it before it returns, so that a killed
// process leaves a trace of everything it began.
func (j *Journal) Append(entry Entry) error {
	entry.Server = j.server
	entry.Start = j.start
	entry.AtMicros = j.now().UnixMicro()
	line, err := json.Marshal(&entry)
	if err != nil {
		return errors.Wrap(err, "encode journal entry")
	}
	_, err = j.writer.Write(append(line, '\n'))
	return errors.Wrap(err, "write journal entry")
}

// ReadJournals reads all journals of a folder in the order of time. A torn
// last line, as a killed process may leave, is ignored.
func ReadJournals(folder string) ([]Entry, error) {
	files, err := os.ReadDir(folder)
	if err != nil {
		return nil, errors.Wrap(err, "list journals")
	}
	var entries []Entry
	for _, file := range files {
		if !strings.HasSuffix(file.Name(), journalSuffix) {
			continue
		}
		content, err := os.ReadFile(filepath.Join(folder, file.Name()))
		if err != nil {
			return nil, errors.Wrap(err, "read journal")
		}
		read, err := ParseJournal(content)
		if err != nil {
			return nil, errors.Wrapf(err, "journal %s", file.Name())
		}
		entries = append(entries, read...)
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return int(a.AtMicros - b.AtMicros) })
	return entries, nil
}

// ParseJournal reads the lines of one journal.
func ParseJournal(content []byte) ([]Entry, error) {
	var entries []Entry
	scanner := bufio.NewScanner(bytes.NewReader(content))
	const maxLineBytes = 1 << 20
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var entry Entry
		if err := json.Unmarshal(scanner.Bytes(), &entry); err != nil {
			if !scanner.Scan() {
				return entries, nil
			}
			return nil, errors.Wrap(err, "corrupt journal line")
		}
		entries = append(entries, entry)
	}
	return entries, errors.Wrap(scanner.Err(), "read journal lines")
}
