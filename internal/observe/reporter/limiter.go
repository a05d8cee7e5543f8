package reporter

import "time"

// limiter limits the rate of log lines of one kind. It counts the lines that it
// suppresses, by group. It is not safe for concurrent use: its owner must hold a lock.
type limiter struct {
	// maxPerSecond is the maximum number of lines in one second of Unix time.
	maxPerSecond int

	// second is the current second in Unix time, and lines the number of calls of allow
	// in it.
	second int64
	lines  int
	// suppressed counts the lines suppressed in the current second, by group.
	suppressed map[string]int
}

func newLimiter(maxPerSecond int) *limiter {
	return &limiter{maxPerSecond: maxPerSecond, suppressed: map[string]int{}}
}

// allow reports whether another line of a group may be written now. With the first line
// of a new second it also returns how many lines were suppressed before, by group;
// otherwise counts is nil.
func (l *limiter) allow(group string, now time.Time) (allowed bool, counts map[string]int) {
	if second := now.Unix(); second != l.second {
		l.second, l.lines = second, 0
		counts = l.take()
	}
	l.lines++
	if l.lines <= l.maxPerSecond {
		return true, counts
	}
	l.suppressed[group]++
	return false, counts
}

// take returns how many lines were suppressed, by group, and begins to count anew.
func (l *limiter) take() map[string]int {
	counts := l.suppressed
	l.suppressed = map[string]int{}
	return counts
}
