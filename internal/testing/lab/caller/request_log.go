package caller

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// recorder owns the request log of a run; its goroutine appends the entries that conversations send.
type recorder struct {
	entries chan any
	log     *RequestLog
	done    chan struct{}
}

type unserved struct{}

func newRecorder() *recorder {
	const entriesAhead = 1024
	k := &recorder{
		entries: make(chan any, entriesAhead),
		log:     &RequestLog{Programs: map[string]*Program{}},
		done:    make(chan struct{}),
	}
	go k.loop()
	return k
}

func (k *recorder) loop() {
	defer close(k.done)
	for entry := range k.entries {
		switch entry := entry.(type) {
		case *Record:
			k.log.Records = append(k.log.Records, entry)
		case *Program:
			k.log.Programs[entry.ID] = entry
		case unserved:
			k.log.Unserved++
		}
	}
}

// close ends the goroutine and returns the log with all entries.
func (k *recorder) close() *RequestLog {
	close(k.entries)
	<-k.done
	return k.log
}

// Save writes the request log as JSON.
func (b *RequestLog) Save(path string) error {
	content, err := json.Marshal(b)
	if err != nil {
		return errors.Wrap(err, "encode book")
	}
	return errors.Wrap(os.WriteFile(path, content, 0o644), "write book")
}

// LoadRequestLog reads a saved request log.
func LoadRequestLog(path string) (*RequestLog, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read book")
	}
	var requestLog RequestLog
	return &requestLog, errors.Wrap(json.Unmarshal(content, &requestLog), "decode book")
}
