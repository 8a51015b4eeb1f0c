// Package guavarank yields the best of many candidates again and again while each choice
// lowers their ratings.
//
// Rating a thousand workers for each of a thousand tasks takes most of a scheduler's time.
// A Ranking rates each candidate once and only the first one again, since a choice lowers
// the ratings of the others at most.
package guavarank

import "container/heap"

type (
	// Ranking is a heap of candidates, best first. Before breaks ties and must be set.
	Ranking[T any] struct {
		Before func(a, b T) bool
		rate   func(T) (float64, bool)
		rated  []rated[T]
	}

	rated[T any] struct {
		candidate T
		rating    float64
	}
)

// Fill replaces the candidates by those for which rate returns true. A later call of rate
// must return no higher rating for any of them.
func (r *Ranking[T]) Fill(candidates []T, rate func(T) (float64, bool)) {
	r.rated, r.rate = r.rated[:0], rate
	for _, c := range candidates {
		if rating, ok := rate(c); ok {
			r.rated = append(r.rated, rated[T]{c, rating})
		}
	}
	heap.Init((*ranks[T])(r))
}

// Best returns the best candidate by its present rating, or false if there is none.
func (r *Ranking[T]) Best() (T, bool) {
	for len(r.rated) > 0 {
		first := &r.rated[0]
		rating, ok := r.rate(first.candidate)
		switch {
		case !ok:
			heap.Pop((*ranks[T])(r))
		case rating < first.rating:
			first.rating = rating
			heap.Fix((*ranks[T])(r), 0)
		default:
			first.rating = rating
			return first.candidate, true
		}
	}
	var none T
	return none, false
}

// ranks implements heap.Interface.
type ranks[T any] Ranking[T]

func (r *ranks[T]) Len() int      { return len(r.rated) }
func (r *ranks[T]) Swap(i, j int) { r.rated[i], r.rated[j] = r.rated[j], r.rated[i] }
func (r *ranks[T]) Push(x any)    { r.rated = append(r.rated, x.(rated[T])) }

func (r *ranks[T]) Less(i, j int) bool {
	a, b := &r.rated[i], &r.rated[j]
	if a.rating != b.rating {
		return a.rating > b.rating
	}
	return r.Before(a.candidate, b.candidate)
}

func (r *ranks[T]) Pop() any {
	last := r.rated[len(r.rated)-1]
	r.rated = r.rated[:len(r.rated)-1]
	return last
}
