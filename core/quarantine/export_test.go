package quarantine

// AnsweredCount returns the number of answered requests that are remembered.
func (c *CrashDetector) AnsweredCount() int { return len(c.answered) + len(c.olderAnswered) }
