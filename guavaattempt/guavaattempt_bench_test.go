package guavaattempt

import (
	"encoding/json"
	"testing"
)

// BenchmarkFailures measures a task that fails 1,000 times, each tenth attempt otherwise, and
// the encoding of its failures.
func BenchmarkFailures(b *testing.B) {
	for b.Loop() {
		var f Failures
		for n := int64(1); n <= 1000; n++ {
			if n%10 != 0 {
				f.Add(n)
			}
		}
		if _, err := json.Marshal(f); err != nil {
			b.Fatal(err)
		}
	}
}
