// Package quotas connects the limiter of core/quota to the entry of a node and to its control client: it adds the clock, the
// lock, the messages and the log lines.
package quotas
