package ggspopularity

import "time"

// recentTimeConstant is the time in which past arrivals lose two thirds of their weight. It is
// short because demand moves between adapters within seconds.
const recentTimeConstant = 4 * time.Second

// A Recent estimates the arrival rate over the last seconds. Its zero value has no arrivals.
type Recent struct {
	sum float64
	at  time.Time
}

// Add counts n arrivals.
func (r *Recent) Add(now time.Time, n int) {
	r.sum = decayed(r.sum, now.Sub(r.at), recentTimeConstant) + float64(n)
	r.at = now
}

// Last returns the time of the last call of Add.
func (r *Recent) Last() time.Time { return r.at }

// PerSecond estimates the arrivals per second.
func (r *Recent) PerSecond(now time.Time) float64 {
	return decayed(r.sum, now.Sub(r.at), recentTimeConstant) / recentTimeConstant.Seconds()
}
