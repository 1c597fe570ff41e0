package httpproxy

// Headers of calls between caller, entry, gate and upstream.
const (
	HeaderCallID         = "X-Rattanfield-Call-Id"
	HeaderAttempt        = "X-Rattanfield-Attempt"
	HeaderDepth          = "X-Rattanfield-Depth"
	HeaderDeadline       = "X-Rattanfield-Deadline-Ms" // remaining time in ms
	HeaderTenant         = "X-Rattanfield-Tenant"
	HeaderClass          = "X-Rattanfield-Class"
	HeaderFingerprint    = "X-Rattanfield-Fingerprint"
	HeaderVersion        = "X-Rattanfield-Version"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderSuspect marks a repeated request whose earlier attempt ended with a crash of the upstream.
	HeaderSuspect = "X-Rattanfield-Suspect"

	HeaderRan         = "X-Rattanfield-Ran"
	HeaderReason      = "X-Rattanfield-Reason"
	HeaderLoad        = "X-Rattanfield-Load" // "in flight,queue,slots"
	HeaderFailedBelow = "X-Rattanfield-Failed-Below"
	// HeaderReplayed marks a stored response to an earlier request with the same idempotency key.
	HeaderReplayed = "X-Rattanfield-Replayed"
)

// Values of HeaderRan.
const (
	RanRun     = "run"
	RanNotRun  = "not-run"
	RanUnknown = "unknown"
)

// closingCallID is the call id of the unsolicited response that a server sends before it
// closes an idle connection. A peer whose request crossed the close learns from it that
// the request was not read.
const closingCallID = "-"

// Bounds of a call, so that one caller cannot exhaust the memory of a node.
const (
	maxHeaderCount  = 64
	maxHeaderBytes  = 16 << 10
	maxCallIDLength = 64
	maxLabelLength  = 64 // tenant, class, version
	maxKeyLength    = 256
	maxBodyBytes    = 8 << 20 // upper bound; a service may state a smaller limit
	// responseMemory bounds the memory of all large responses of a pool while they are read. One
	// response may use a quarter of it.
	responseMemory = 4 * maxBodyBytes
)
