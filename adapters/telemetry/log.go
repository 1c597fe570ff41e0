package telemetry

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logfmt logger for lines of at least the level (debug, info,
// warn, error; empty means info). Every line carries time, program and id.
func NewLogger(w io.Writer, program, id, minimum string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC, "program", program, "id", id)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(minimum, level.InfoValue())))
}
