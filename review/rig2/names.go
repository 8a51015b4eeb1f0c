package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesData []byte

// names holds the platform's names of calls and fields.
type names struct {
	Tx, Get, Feed, Start, Stop, Hold, Pace                                        string
	Expected, After, Token, Seen, Saved, Saves, OneRack, PerWorker, Prefix, Slack string
	Instance, Deadline                                                            string
}

var wire = func() (n names) {
	if err := json.Unmarshal(namesData, &n); err != nil {
		panic(err)
	}
	return n
}()

type object = map[string]any

func number(o object, key string) int64 {
	f, _ := o[key].(float64)
	return int64(f)
}

func text(o object, key string) string {
	s, _ := o[key].(string)
	return s
}
