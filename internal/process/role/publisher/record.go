package publisher

import "time"

func (p *Publisher) auditRead(now time.Time, e AuditRead) []any {
	readable := e.outcome == Done || e.outcome == NotFound
	if p.phase == searchingAudit {
		if r, ok := e.audit.find(p.active.key); readable && ok {
			return p.reply(Result{
				state:    Applied,
				version:  r.version,
				repeated: true,
				audited:  true,
				detail:   "an earlier request with this key applied the version",
			})
		}
		return p.compareVersions()
	}
	if !readable {
		return p.reply(p.active.result)
	}
	p.active.audit = e.audit
	p.active.auditIndex = e.index
	p.active.pruned = e.audit.pruned
	if p.active.tries > 0 && e.audit.contains(p.active.key, p.active.base, p.active.result.state) {
		// The previous write took effect, but its answer was lost.
		r := p.active.result
		r.audited = true
		return p.reply(r)
	}
	if e.audit.full() {
		p.phase = archivingSegment
		return []any{Archive{
			audit: e.audit,
		}}
	}
	return p.prune(now)
}

// segmentArchived continues with an empty segment. Another publisher may have
// archived the same segment already.
func (p *Publisher) segmentArchived(now time.Time, o Outcome) []any {
	if o == Unknown && p.active.tries < maxTries {
		// Archiving again finds the same value if the previous write took effect.
		p.active.tries++
		p.phase = readingAudit
		return []any{ReadAudit{}}
	}
	if o != Done && o != AlreadyStored {
		return p.reply(p.active.result)
	}
	full := p.active.audit
	p.active.audit = full.next()
	if full.segment < RetainedSegments {
		return p.prune(now)
	}
	p.phase = deletingSegment
	return []any{DeleteSegment{
		segment: full.segment - RetainedSegments,
	}}
}

// prune selects the versions to delete: those older than the retained ones, and
// an unused body of this change below them, which nothing else deletes.
func (p *Publisher) prune(now time.Time) []any {
	p.active.deletions = nil
	if p.active.result.state == Applied {
		for v := p.active.pruned + 1; v+RetainedVersions <= p.active.result.version && len(p.active.deletions) < maxDeletions; v++ {
			p.active.deletions = append(p.active.deletions, v)
		}
	} else if p.active.created && p.active.result.state != Indeterminate && p.active.next.Version() <= p.active.pruned {
		p.active.deletions = append(p.active.deletions, p.active.next.Version())
	}
	return p.deleteNext(now)
}

func (p *Publisher) deleteNext(now time.Time) []any {
	if len(p.active.deletions) == 0 {
		return p.writeRecord(now)
	}
	p.phase = deletingVersion
	return []any{DeleteVersion{
		version: p.active.deletions[0],
	}}
}

func (p *Publisher) versionDeleted(now time.Time, o Outcome) []any {
	if o != Done && o != NotFound {
		// The next change deletes the rest.
		p.active.deletions = nil
		return p.writeRecord(now)
	}
	p.active.pruned = max(p.active.pruned, p.active.deletions[0])
	p.active.deletions = p.active.deletions[1:]
	return p.deleteNext(now)
}

func (p *Publisher) writeRecord(now time.Time) []any {
	p.phase = writingAudit
	r := p.active.result
	return []any{WriteAudit{
		audit: p.active.audit.withRecord(NewRecord(p.active.operator, now, p.active.key, p.active.base, r.version, r.state), p.active.pruned),
		index: p.active.auditIndex,
	}}
}

// auditWritten replies, or tries again if another publisher wrote in between or
// the answer was lost.
func (p *Publisher) auditWritten(o Outcome) []any {
	p.active.tries++
	if o == Done || (o != Mismatch && o != Unknown) || p.active.tries >= maxTries {
		r := p.active.result
		r.audited = o == Done
		return p.reply(r)
	}
	p.phase = readingAudit
	return []any{ReadAudit{}}
}
