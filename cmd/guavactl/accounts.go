package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"guavascale.example"
	"guavascale.example/guavastate"
)

type accountsCmd struct {
	Daemons []string `arg:"" help:"Metrics addresses of daemons of guavascaled queue, each as host and port. The owner of the shard answers."`
	Waiting bool     `help:"Accounts with waiting tasks only."`
}

// maxStateBytes bounds the state of a daemon, which has a line for each worker.
const maxStateBytes = 64 << 20

// Run shows the client accounts with their use and limits.
func (c accountsCmd) Run(s *session) error {
	var failed []string
	for _, daemon := range c.Daemons {
		accounts, owner, err := readAccounts(s, daemon)
		switch {
		case err != nil:
			failed = append(failed, fmt.Sprintf("%s (%v)", daemon, err))
			continue
		case !owner:
			continue
		}
		if c.Waiting {
			accounts = slices.DeleteFunc(accounts, func(a guavastate.Account) bool { return a.Waiting == 0 })
		}
		t := table{{"ACCOUNT", "CORES", "CORE LIMIT", "MB", "MB LIMIT", "ACCELERATORS", "ACCELERATOR LIMIT", "SHARE", "WEIGHT", "WAITING", "AT LIMIT", "OVER RATE", "REJECTED"}}
		for _, a := range accounts {
			used, limit := resourceCells(a.Running), resourceCells(a.Limit)
			row := []string{a.Name}
			for i := range used {
				row = append(row, used[i], limitCell(limit[i]))
			}
			rejected := int64(0)
			for _, n := range a.Rejected {
				rejected += n
			}
			t = append(t, append(
				row, fmt.Sprintf("%.3f", a.Share), formatNumber(a.Weight), formatNumber(a.Waiting),
				formatNumber(a.AtLimit), formatNumber(a.OverRate), formatNumber(rejected),
			))
		}
		return s.show(accounts, t)
	}
	if len(failed) > 0 {
		return &guavascale.UnavailableError{System: "daemons", Op: "State", Cause: fmt.Errorf("no answer from %s", strings.Join(failed, ", "))}
	}
	return &guavascale.NotFoundError{Kind: "owner", Name: strings.Join(c.Daemons, ", ")}
}

// limitCell returns the table cell of a limit, of which 0 means that there is none.
func limitCell(limit string) string {
	if limit == "0" {
		return "-"
	}
	return limit
}

// readAccounts reads the accounts from the state of a daemon, and whether it is the owner.
func readAccounts(s *session, daemon string) (accounts []guavastate.Account, owner bool, err error) {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+daemon+"/state", http.NoBody)
	if err != nil {
		return nil, false, &usageError{err.Error()}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, false, fmt.Errorf("status %d", resp.StatusCode)
	}
	var state struct{ Shard *guavastate.Dump }
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxStateBytes)).Decode(&state); err != nil {
		return nil, false, err
	}
	if state.Shard == nil {
		return nil, false, nil
	}
	return state.Shard.Accounts, true, nil
}
