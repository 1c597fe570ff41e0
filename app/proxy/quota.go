package proxy

// withinQuota charges the request to the quota of its organisation and reports whether it is within it. Nested calls are part of
// the request that makes them and not charged.
func (f *forwarding) withinQuota() bool {
	q := f.entry.options.Quotas
	if q == nil || f.info.organisation == nil || f.info.nested {
		return true
	}
	var ok bool
	f.quota, f.quotaRetryAfter, ok = q.Admit(f.info.organisation, f.view.Nodes)
	return ok
}

// giveBackQuota takes back the charge if no upstream can have run the request.
func (f *forwarding) giveBackQuota() {
	if q := f.entry.options.Quotas; q != nil && f.sends == 0 && !f.mayHaveRun {
		q.GiveBack(f.quota)
	}
}
