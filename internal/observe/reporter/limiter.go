package reporter

import "time"

// limiter bounds the lines of one kind that are written in each second and sums those
// beyond, by what they have in common. It is used under its owner's lock.
type limiter struct {
	// perSecond is how many lines each second has.
	perSecond int

	second     int64
	lines      int
	suppressed map[string]int
}

func newLimiter(perSecond int) *limiter {
	return &limiter{perSecond: perSecond, suppressed: map[string]int{}}
}

// admit says whether another line may be written now, and returns the sums of the
// seconds before once the first line of a new second comes.
func (l *limiter) admit(group string, now time.Time) (admitted bool, sums map[string]int) {
	if second := now.Unix(); second != l.second {
		l.second, l.lines = second, 0
		sums, l.suppressed = l.suppressed, map[string]int{}
	}
	l.lines++
	if l.lines <= l.perSecond {
		return true, sums
	}
	l.suppressed[group]++
	return false, sums
}
