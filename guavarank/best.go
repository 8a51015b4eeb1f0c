package guavarank

// Best is the best of the candidates that were offered. The zero value has none.
type Best[T any] struct {
	Candidate T
	Rating    float64
	Found     bool
}

// Improves reports whether a candidate is better; before breaks ties.
func (b *Best[T]) Improves(c T, rating float64, before func(a, b T) bool) bool {
	return !b.Found || rating > b.Rating || rating == b.Rating && before(c, b.Candidate)
}

// Offer takes a candidate that is better; before breaks ties.
func (b *Best[T]) Offer(c T, rating float64, before func(a, b T) bool) {
	if b.Improves(c, rating, before) {
		b.Candidate, b.Rating, b.Found = c, rating, true
	}
}
