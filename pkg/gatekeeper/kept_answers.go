package gatekeeper

// keepAnswer retains a response in case the link of the peer is down. The total
// size is bounded by maxKeptAnswerBytes: the oldest responses are evicted
// first, and their requests count as failed from then on. The newest response
// is always retained.
func (g *Gate) keepAnswer(rec *record, result Result) {
	rec.answer = &result
	g.keptAnswers = append(g.keptAnswers, rec)
	g.keptAnswerBytes += len(result.Body)
	for len(g.keptAnswers) > 1 && (g.keptAnswerBytes > maxKeptAnswerBytes || g.keptAnswers[0].answer == nil) {
		g.dropAnswer(g.keptAnswers[0])
		g.keptAnswers[0] = nil
		g.keptAnswers = g.keptAnswers[1:]
	}
}

// dropAnswer releases the bytes of a response. Its record stays in keptAnswers
// until it reaches the front.
func (g *Gate) dropAnswer(rec *record) {
	if rec.answer == nil {
		return
	}
	g.keptAnswerBytes -= len(rec.answer.Body)
	rec.answer = nil
}
