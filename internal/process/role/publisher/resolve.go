package publisher

func (p *Publisher) wasMoved(o Outcome) []any {
	if o == Done {
		return p.applied()
	}
	if o == Unknown {
		p.at.uncertain = true
	}
	if o == Unavailable && !p.at.uncertain {
		return p.finish(Result{
			state:  Failed,
			detail: "the head cannot be moved; nothing was changed",
		})
	}
	return p.readBack()
}

func (p *Publisher) readBack() []any {
	p.at.tries++
	if p.at.tries > maxTries {
		return p.unclear()
	}
	p.phase = readingBack
	return []any{ReadHead{
		pause: firstPause << (p.at.tries - 1),
	}}
}

func (p *Publisher) unclear() []any {
	return p.finish(Result{
		state:  Indeterminate,
		detail: "the store did not answer; the change may have taken effect; check with config history, or repeat with the same key",
	})
}

// headReadBack resolves a move whose answer was lost or refused.
func (p *Publisher) headReadBack(e HeadRead) []any {
	if e.outcome != Done && e.outcome != NotFound {
		return p.readBack()
	}
	if v, ok := e.head.Find(p.at.key); ok {
		p.at.head = e.head
		if v == p.at.next.Version() {
			return p.applied()
		}
		// Another publisher carried out a request with the same key.
		p.at.result.version = v
		p.phase = readingOwn
		return []any{ReadVersion{
			version: v,
		}}
	}
	if e.index == p.at.index {
		// The move may still be under way. Repeating it is safe, since only one of
		// both can find this index.
		return p.move()
	}
	p.at.head = e.head
	if !e.head.Covers(p.at.base) {
		return p.unclear()
	}
	return p.diverged()
}
