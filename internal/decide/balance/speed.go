package balance

import "time"

// speedBound limits how much faster or slower than the mean of its service a backend can be rated, since there are few
// measurements.
const speedBound = 2.0

// Speeds returns the speeds of backends relative to their mean, calculated from their measured service times. The speed of a
// backend without a measurement, whose service time is zero, is 1.
func Speeds(serviceTimes []time.Duration) []float64 {
	sum, known := time.Duration(0), 0
	for _, t := range serviceTimes {
		if t > 0 {
			sum += t
			known++
		}
	}
	speeds := make([]float64, len(serviceTimes))
	for i, t := range serviceTimes {
		speeds[i] = 1
		if t > 0 {
			mean := float64(sum) / float64(known)
			speeds[i] = min(max(mean/float64(t), 1/speedBound), speedBound)
		}
	}
	return speeds
}
