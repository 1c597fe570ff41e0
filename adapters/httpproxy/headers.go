package httpproxy

// Headers of calls between caller, entry, gate and upstream.
const (
	HeaderCallID         = "X-Rattanfield-Call-Id"
	HeaderAttempt        = "X-Rattanfield-Attempt"
	HeaderDepth          = "X-Rattanfield-Depth"
	HeaderDeadline       = "X-Rattanfield-Deadline-Ms" // remaining time
	HeaderTenant         = "X-Rattanfield-Tenant"
	HeaderClass          = "X-Rattanfield-Class"
	HeaderFingerprint    = "X-Rattanfield-Fingerprint"
	HeaderVersion        = "X-Rattanfield-Version"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderSuspect marks a repeated request whose earlier attempt lost its upstream.
	HeaderSuspect = "X-Rattanfield-Suspect"

	HeaderRan         = "X-Rattanfield-Ran"
	HeaderReason      = "X-Rattanfield-Reason"
	HeaderLoad        = "X-Rattanfield-Load" // "in flight,queue,slots"
	HeaderFailedBelow = "X-Rattanfield-Failed-Below"
	// HeaderReplayed marks a response that the ledger stored for an earlier request with the same key.
	HeaderReplayed = "X-Rattanfield-Replayed"
)

// Values of HeaderRan.
const (
	RanRun     = "run"
	RanNotRun  = "not-run"
	RanUnknown = "unknown"
)

// closingCallID is the call id of the unsolicited response that a server sends
// before it closes an idle connection. It tells a peer whose request crossed
// the close that the request was not read.
const closingCallID = "-"

// Bounds of a call. They keep one caller from using up the memory of a node.
const (
	maxHeaderCount  = 64
	maxHeaderBytes  = 16 << 10
	maxCallIDLength = 64
	maxLabelLength  = 64 // tenant, class, version
	maxKeyLength    = 256
	maxBodyBytes    = 8 << 20 // when the service states no smaller limit
	maxInterim      = 8       // responses before the final one
	// responseMemory is what large responses of a pool take together while they are read; one may have half of it.
	responseMemory = 2 * maxBodyBytes
)
