package guavabackfill

import "guavascale.example"

// Full holds, by class of steps that can run on the same workers, a size for which no worker
// had room in a scheduling pass. It saves trying every task of a long queue.
type Full[K comparable] map[K]guavascale.Resources

// Record records that no worker had room for a task.
func (f *Full[K]) Record(class K, size guavascale.Resources) {
	if *f == nil {
		*f = make(Full[K])
	}
	(*f)[class] = size
}

// Known reports whether a task of the class that is no larger found no room.
func (f Full[K]) Known(class K, size guavascale.Resources) bool {
	full, ok := f[class]
	return ok && size.Fits(full)
}

// Keep returns a function that restores what is known of a class.
func (f *Full[K]) Keep(class K) (restore func()) {
	full, ok := (*f)[class]
	return func() {
		if delete(*f, class); ok {
			(*f)[class] = full
		}
	}
}
