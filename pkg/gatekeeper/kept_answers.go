package gatekeeper

// keep holds an answer for a peer whose link may be gone, within a bound of
// bytes: the oldest answers go first, and their requests count as failed.
func (g *Gate) keep(rec *record, result Result) {
	rec.answer = &result
	g.kept = append(g.kept, rec)
	g.keptBytes += len(result.Body)
	for len(g.kept) > 1 && (g.keptBytes > keptAnswerBytes || g.kept[0].answer == nil) {
		g.dropAnswer(g.kept[0])
		g.kept[0] = nil
		g.kept = g.kept[1:]
	}
}

// dropAnswer gives an answer's bytes back; its place in the order of age stays
// until it comes to the front.
func (g *Gate) dropAnswer(rec *record) {
	if rec.answer == nil {
		return
	}
	g.keptBytes -= len(rec.answer.Body)
	rec.answer = nil
}
