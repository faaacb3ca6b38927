package scheduler

// recordCrash records that a runner was replaced by a later incarnation, or by
// another runner at its address, although it had not announced its end.
func (c *Cell) recordCrash(s *runnerState) {
	if s.info.Draining || s.info.Left || len(s.tasks) == 0 {
		return
	}
	unlisted := 0
	for t := range s.tasks {
		if t.startSent && !t.listed {
			unlisted++
		}
	}
	c.Counts.Crashes++
	c.cfg.LogEvent("runner crashed", "runner", s.key.ID, "born-millis", s.key.StartedAtMillis, "tasks", len(s.tasks),
		"unlisted", unlisted, "known", s.reported)
}
