//go:build race

package bubbletest

const raceEnabled = true
