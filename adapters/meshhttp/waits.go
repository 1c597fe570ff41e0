package meshhttp

import "time"

// Stage is a part of the way of a request in which it waits for the process itself, not for others.
type Stage uint8

// Stages of a request.
const (
	// StageAccept is the time from the connection to its acceptance. The operating system does not tell it. It is counted from the
	// first connection that was accepted since none waited, so it is too short by the wait of that one.
	StageAccept Stage = iota
	StageStart        // from the last byte that was read to the start of the handler
	StageOrder        // from the end of the handler until earlier responses on the connection were written
	StageWrite        // from then to the begin of the write
	Stages
)

var stageNames = [Stages]string{"accept", "start", "order", "write"}

func (s Stage) String() string { return stageNames[s] }

func (s *Server) observe(stage Stage, wait time.Duration) {
	if f := s.options.OnWait; f != nil {
		f(stage, wait)
	}
}

// observeWrite records how long a response waited to be written. written is when the one before it on the connection was written.
func (s *Server) observeWrite(completed, written time.Time) {
	order := max(0, written.Sub(completed))
	s.observe(StageOrder, order)
	s.observe(StageWrite, time.Since(completed.Add(order)))
}
