package telemetry

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logfmt logger that drops lines below the level minimum (debug,
// info, warn or error; otherwise info). Every line carries time, program and id. It
// is safe for concurrent use and blocks while w blocks.
func NewLogger(w io.Writer, program, id, minimum string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC, "program", program, "id", id)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(minimum, level.InfoValue())))
}
