package guavascheduler

import (
	"fmt"
	"math"
	"strings"

	"guavascale.example/guavastate"
)

const (
	// maxAccountMeters bounds the number of accounts with metrics of their own. An installation
	// has up to 340; further ones, by name, are added up under otherAccounts.
	maxAccountMeters = 400
	otherAccounts    = "(other)"
	accountPrefix    = "account."
)

// accounts sets the gauges of the client accounts, and removes those of accounts that are not
// known any more.
func (m *meters) accounts(list []guavastate.Account) {
	m.once.Do(m.init)
	gauges := make(map[string]int64)
	for i := range list {
		a := &list[i]
		name := strings.Join(strings.Fields(a.Name), "_")
		if i >= maxAccountMeters {
			name = otherAccounts
		}
		add := func(meter string, v int64) { gauges[accountPrefix+name+"."+meter] += v }
		add("running-millicores", a.Running.MilliCores)
		add("running-mb", a.Running.MemoryMB)
		add("runs", a.Runs)
		add("waiting", a.Waiting)
		add("waiting-at-limit", a.AtLimit)
		add("waiting-over-rate", a.OverRate)
		add("share-permille", int64(math.Round(1000*a.Share)))
		add("weight-permille", int64(math.Round(1000*a.Weight)))
		for reason, n := range a.Rejected {
			add(fmt.Sprintf("rejected.%s", reason), n)
		}
	}
	m.counters.Each(func(name string, _ any) {
		if _, ok := gauges[name]; !ok && strings.HasPrefix(name, accountPrefix) {
			m.counters.Unregister(name)
		}
	})
	for name, v := range gauges {
		m.gauge(name, v)
	}
}
