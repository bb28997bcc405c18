package daemon

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/protocol"
)

// newLogger returns the logger of a process, which adds the node's name to every line.
func newLogger(writer io.Writer, settings *protocol.NodeSettings) (*log.Logger, error) {
	level, err := log.ParseLevel(settings.GetLogLevel())
	if err != nil {
		return nil, errors.Wrap(err, "parse node.log_level")
	}
	formatter := log.TextFormatter
	if settings.GetLogFormat() == "json" {
		formatter = log.JSONFormatter
	}
	logger := log.NewWithOptions(writer, log.Options{
		Level:           level,
		Formatter:       formatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		TimeFunction:    log.NowUTC,
	})
	return logger.With("node", settings.GetName()), nil
}
