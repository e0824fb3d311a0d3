package ggspopularity

import "time"

// recentConstant is the time in which what was seen loses two thirds of its
// weight: demand moves from adapter to adapter within seconds.
const recentConstant = 4 * time.Second

// A Recent estimates the rate of arrivals over the last seconds. Its zero value
// has seen none.
type Recent struct {
	sum float64
	at  time.Time
}

// Add counts n arrivals.
func (r *Recent) Add(now time.Time, n int) {
	r.sum = decayed(r.sum, now.Sub(r.at), recentConstant) + float64(n)
	r.at = now
}

// Last returns when arrivals were last counted.
func (r *Recent) Last() time.Time { return r.at }

// PerSecond estimates the arrivals a second.
func (r *Recent) PerSecond(now time.Time) float64 {
	return decayed(r.sum, now.Sub(r.at), recentConstant) / recentConstant.Seconds()
}
