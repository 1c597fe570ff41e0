package meshhttp

// BodyTimeout is the time within which the body of a request must have arrived.
const BodyTimeout = bodyTimeout
