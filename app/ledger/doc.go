// Package ledger handles the claims of idempotency keys on a node. A Service
// answers as a member of ledger groups, a Recovery restores its claims after a
// restart, and a Keeper claims keys for the gate of the node.
package ledger
