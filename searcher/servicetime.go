package searcher

import (
	"math"
	"math/rand/v2"
	"time"
)

// Distribution is the kind of distribution of service times.
type Distribution string

// Values of Distribution. The empty value means Fixed.
const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
	Lognormal   Distribution = "lognormal"
)

// ServiceTime is a distribution of service times.
type ServiceTime struct {
	Mean         time.Duration
	Distribution Distribution
	// Sigma is the standard deviation of the logarithm of a lognormal service time.
	Sigma float64
}

// Sample draws a service time from the distribution.
func (t ServiceTime) Sample(r *rand.Rand) time.Duration {
	switch t.Distribution {
	case Exponential:
		return time.Duration(r.ExpFloat64() * float64(t.Mean))
	case Lognormal:
		// Subtracting half the variance keeps the mean of the service times at Mean.
		return time.Duration(math.Exp(r.NormFloat64()*t.Sigma-t.Sigma*t.Sigma/2) * float64(t.Mean))
	default:
		return t.Mean
	}
}
