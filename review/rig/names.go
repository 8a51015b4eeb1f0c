package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names holds the platform's names that the stand-ins of the project don't offer.
var names = func() (n struct{ WorkerRows, After, MaxPerWorker string }) {
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err) // The file is part of the program.
	}
	return n
}()
