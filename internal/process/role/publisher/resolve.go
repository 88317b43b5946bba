package publisher

func (p *Publisher) headMoved(o Outcome) []any {
	if o == Done {
		return p.finishApplied()
	}
	if o == Unknown {
		p.active.uncertain = true
	}
	if o == Unavailable && !p.active.uncertain {
		return p.finish(Result{
			state:  Failed,
			detail: "the head cannot be moved; nothing was changed",
		})
	}
	return p.rereadHead()
}

func (p *Publisher) rereadHead() []any {
	p.active.tries++
	if p.active.tries > maxTries {
		return p.finishIndeterminate()
	}
	p.phase = rereadingHead
	return []any{ReadHead{
		pause: initialBackoff << (p.active.tries - 1),
	}}
}

func (p *Publisher) finishIndeterminate() []any {
	return p.finish(Result{
		state:  Indeterminate,
		detail: "the store did not answer; the change may have taken effect; check with config history, or repeat with the same key",
	})
}

// headReread resolves a move of the head that was refused or whose answer was lost.
func (p *Publisher) headReread(e HeadRead) []any {
	if e.outcome != Done && e.outcome != NotFound {
		return p.rereadHead()
	}
	if v, ok := e.head.Find(p.active.key); ok {
		p.active.head = e.head
		if v == p.active.next.Version() {
			return p.finishApplied()
		}
		// Another publisher has applied a request with the same key.
		p.active.result.version = v
		p.phase = readingApplied
		return []any{ReadVersion{
			version: v,
		}}
	}
	if e.index == p.active.index {
		// The move may still be in transit. Repeating it is safe, since only one of
		// the two can succeed at this index.
		return p.moveHead()
	}
	p.active.head = e.head
	if !e.head.Covers(p.active.base) {
		return p.finishIndeterminate()
	}
	return p.compareVersions()
}
