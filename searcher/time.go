package searcher

import (
	"math"
	"math/rand/v2"
	"time"
)

// Distribution is the shape of the service times.
type Distribution string

// Values of Distribution. The empty value stands for Fixed.
const (
	Fixed       Distribution = "fixed"
	Exponential Distribution = "exponential"
	Lognormal   Distribution = "lognormal"
)

// ServiceTime is a distribution of service times.
type ServiceTime struct {
	Mean         time.Duration
	Distribution Distribution
	// Sigma is the standard deviation of the logarithm of a lognormal time.
	Sigma float64
}

// Sample returns a service time.
func (t ServiceTime) Sample(r *rand.Rand) time.Duration {
	switch t.Distribution {
	case Exponential:
		return time.Duration(r.ExpFloat64() * float64(t.Mean))
	case Lognormal:
		// The shift by half the variance keeps the mean of the times at Mean.
		return time.Duration(math.Exp(r.NormFloat64()*t.Sigma-t.Sigma*t.Sigma/2) * float64(t.Mean))
	default:
		return t.Mean
	}
}
