package publisher

import "time"

func (p *Publisher) auditRead(now time.Time, e AuditRead) []any {
	known := e.outcome == Done || e.outcome == NotFound
	if p.phase == readingRecords {
		if r, ok := e.audit.find(p.at.key); known && ok {
			return p.reply(Result{
				state:    Applied,
				version:  r.version,
				repeated: true,
				audited:  true,
				detail:   "an earlier request with this key applied the version",
			})
		}
		return p.diverged()
	}
	if !known {
		return p.reply(p.at.result)
	}
	p.at.audit = e.audit
	p.at.auditAt = e.index
	p.at.pruned = e.audit.pruned
	if p.at.tries > 0 && e.audit.has(p.at.key, p.at.base, p.at.result.state) {
		// The answer to the former write was lost.
		r := p.at.result
		r.audited = true
		return p.reply(r)
	}
	if e.audit.full() {
		p.phase = archiving
		return []any{Archive{
			audit: e.audit,
		}}
	}
	return p.prune(now)
}

// archived goes on with an empty segment. Another publisher may have archived
// the same segment before.
func (p *Publisher) archived(now time.Time, o Outcome) []any {
	if o == Unknown && p.at.tries < maxTries {
		// Archiving again finds the same segment if the former write took effect.
		p.at.tries++
		p.phase = readingAudit
		return []any{ReadAudit{}}
	}
	if o != Done && o != AlreadyStored {
		return p.reply(p.at.result)
	}
	full := p.at.audit
	p.at.audit = full.next()
	if full.segment < RetainedSegments {
		return p.prune(now)
	}
	p.phase = droppingSegment
	return []any{DeleteSegment{
		segment: full.segment - RetainedSegments,
	}}
}

// prune lists the versions to delete: those that are older than the kept ones,
// and a body of this change that lies below them, which nothing else deletes.
func (p *Publisher) prune(now time.Time) []any {
	p.at.drops = nil
	if p.at.result.state == Applied {
		for v := p.at.pruned + 1; v+RetainedVersions <= p.at.result.version && len(p.at.drops) < maxDrops; v++ {
			p.at.drops = append(p.at.drops, v)
		}
	} else if p.at.created && p.at.result.state != Indeterminate && p.at.next.Version() <= p.at.pruned {
		p.at.drops = append(p.at.drops, p.at.next.Version())
	}
	return p.drop(now)
}

func (p *Publisher) drop(now time.Time) []any {
	if len(p.at.drops) == 0 {
		return p.record(now)
	}
	p.phase = dropping
	return []any{DeleteVersion{
		version: p.at.drops[0],
	}}
}

func (p *Publisher) dropped(now time.Time, o Outcome) []any {
	if o != Done && o != NotFound {
		// The next change deletes the rest.
		p.at.drops = nil
		return p.record(now)
	}
	p.at.pruned = max(p.at.pruned, p.at.drops[0])
	p.at.drops = p.at.drops[1:]
	return p.drop(now)
}

func (p *Publisher) record(now time.Time) []any {
	p.phase = writingAudit
	r := p.at.result
	return []any{WriteAudit{
		audit: p.at.audit.with(NewRecord(p.at.who, now, p.at.key, p.at.base, r.version, r.state), p.at.pruned),
		index: p.at.auditAt,
	}}
}

// auditWritten replies, or tries again if another publisher wrote meanwhile.
func (p *Publisher) auditWritten(o Outcome) []any {
	p.at.tries++
	if o == Done || (o != Mismatch && o != Unknown) || p.at.tries >= maxTries {
		r := p.at.result
		r.audited = o == Done
		return p.reply(r)
	}
	p.phase = readingAudit
	return []any{ReadAudit{}}
}
