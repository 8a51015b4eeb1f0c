package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"guavascale.example/guavacheck"
	"guavascale.example/guavaconfig"
	guavaplatform "guavascale.example/platform"
)

type (
	checkCmd struct {
		File    string `arg:"" help:"File to check."`
		Queue   bool   `help:"Check a settings file of the subcommand queue." xor:"kind"`
		Routes  bool   `help:"Check a configuration of routes, services and accounts, as it is stored in the platform's row op/config. Exit code 1 with errors, 2 if a file can't be read." xor:"kind"`
		InForce string `help:"With --routes: file with the configuration in force, to show what changes." placeholder:"FILE"`
		JSON    bool   `name:"json" help:"With --routes: print JSON."`
	}

	// checkError is an outcome of a check with its exit code.
	checkError struct {
		message string
		code    int
	}

	// checkReport is the JSON output of a check.
	checkReport struct {
		File     string
		Errors   int
		Warnings int
		Findings []guavacheck.Finding
	}
)

// The exit codes of check-config --routes.
const (
	exitInvalid    = 1
	exitUnreadable = 2
)

func (e *checkError) Error() string { return e.message }

// ExitCode returns the exit code of the process.
func (e *checkError) ExitCode() int { return e.code }

// Validate rejects flags that have no effect, and settings files that don't exist, as it does
// for other commands. An unreadable configuration has an exit code of its own.
func (c *checkCmd) Validate() error {
	if !c.Routes && (c.InForce != "" || c.JSON) {
		return fmt.Errorf("--in-force and --json need --routes")
	}
	if c.Routes {
		return nil
	}
	_, err := os.Stat(c.File)
	return err
}

// Run reads and checks a file.
func (c *checkCmd) Run() error {
	var err error
	switch {
	case c.Routes:
		return c.checkRoutes(os.Stdout)
	case c.Queue:
		_, err = guavaconfig.ReadQueueSettings(c.File)
	default:
		_, err = guavaconfig.ReadSettings(c.File)
	}
	if err != nil {
		return err
	}
	fmt.Println(c.File + ": ok")
	return nil
}

// checkRoutes prints the findings about a configuration. It fails with checkError.
func (c *checkCmd) checkRoutes(out io.Writer) error {
	value, err := os.ReadFile(c.File)
	if err != nil {
		return &checkError{err.Error(), exitUnreadable}
	}
	var inForce []byte
	if c.InForce != "" {
		if inForce, err = os.ReadFile(c.InForce); err != nil {
			return &checkError{err.Error(), exitUnreadable}
		}
	}
	findings := guavaplatform.CheckConfig(value, inForce)
	report := checkReport{
		File: c.File, Findings: findings,
		Errors: guavacheck.Count(findings, guavacheck.Error), Warnings: guavacheck.Count(findings, guavacheck.Warning),
	}
	if err := report.write(out, c.JSON); err != nil {
		return err
	}
	if report.Errors > 0 {
		return &checkError{fmt.Sprintf("%s: errors: %d", c.File, report.Errors), exitInvalid}
	}
	return nil
}

// write prints JSON, or a line for each finding.
func (r *checkReport) write(out io.Writer, asJSON bool) error {
	if asJSON {
		if r.Findings == nil {
			r.Findings = []guavacheck.Finding{}
		}
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(out, "%s %s: %s\n", f.Severity, f.Place, f.Message); err != nil {
			return err
		}
	}
	if r.Errors > 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "%s: ok, warnings: %d\n", r.File, r.Warnings)
	return err
}
