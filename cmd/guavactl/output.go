package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"guavascale.example"
	"guavascale.example/guavaconfig"
	"guavascale.example/guavaoperator"
)

type (
	// usageError reports an invalid command line or environment, or an input
	// file that cannot be read.
	usageError struct{ message string }

	// table holds rows of cells. The first row is the header.
	table [][]string

	// failure is the JSON output for an error.
	failure struct {
		guavaoperator.ErrorBody
		Asked    string
		ExitCode int
		// Repeat holds the flags with which the command can be repeated without
		// applying the change twice.
		Repeat string `json:",omitempty"`
	}
)

func (e *usageError) Error() string { return e.message }

// show prints v if the output format is JSON, otherwise the table.
func (s *session) show(v any, t table) error {
	if s.json {
		return s.showJSON(v)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, row := range t {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// showJSON prints v as indented JSON.
func (s *session) showJSON(v any) error {
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// warn prints a warning, which does not change the exit code.
func (s *session) warn(format string, args ...any) {
	fmt.Fprintf(s.errOut, "guavactl: "+format+"\n", args...)
}

// warnMissing warns that the output lacks the data of daemons that did not
// respond.
func (s *session) warnMissing(daemons []string) {
	if len(daemons) > 0 {
		s.warn("incomplete: these daemons did not answer: %s", strings.Join(daemons, ", "))
	}
}

// fail prints an error and returns its exit code.
func (s *session) fail(args []string, err error) int {
	code := exitCode(err)
	command := strings.Join(args, " ")
	if code != exitUnknown {
		s.retryFlags = ""
	}
	if s.json {
		_, body := guavaoperator.ErrorResponse(err, true)
		body.MayHaveApplied = code == exitUnknown
		if code == exitUsage && body.Kind == guavaoperator.KindInternal {
			body.Kind = guavaoperator.KindRequest
		}
		enc := json.NewEncoder(s.errOut)
		_ = enc.Encode(failure{ErrorBody: body, Asked: command, ExitCode: code, Repeat: s.retryFlags})
		return code
	}
	fmt.Fprintf(s.errOut, "guavactl: %s: %v\n", command, err)
	if s.retryFlags != "" {
		fmt.Fprintf(s.errOut, "guavactl: the change may have taken effect; repeat the command with %s\n", s.retryFlags)
	}
	return code
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var (
		usage       *usageError
		invalid     *guavascale.ValidationError
		conflict    *guavascale.ConflictError
		status      *guavaoperator.StatusError
		missing     *guavascale.NotFoundError
		unavailable *guavascale.UnavailableError
	)
	switch {
	// UnavailableError is matched first because it may wrap one of the others.
	case errors.As(err, &unavailable) && unavailable.MayHaveApplied:
		return exitUnknown
	case errors.As(err, &unavailable):
		return exitUnavailable
	case errors.As(err, &usage), errors.As(err, &invalid):
		return exitUsage
	case errors.As(err, &conflict), errors.As(err, &status) && status.Status == 409:
		return exitConflict
	case errors.As(err, &missing):
		return exitNotFound
	default:
		return exitFailure
	}
}

// readFile decodes a file in JSON with comments into dst. The name "-" stands
// for standard input.
func readFile(name string, dst any) error {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return &usageError{err.Error()}
	}
	if err := guavaconfig.Decode(data, dst); err != nil {
		return fmt.Errorf("file %s: %w", name, err)
	}
	return nil
}

// resourceCells returns table cells for cores, memory in MB and accelerators.
func resourceCells(r guavascale.Resources) []string {
	return []string{
		fmt.Sprintf("%.3g", float64(r.MilliCores)/1000),
		fmt.Sprint(r.MemoryMB),
		fmt.Sprint(r.Accelerators),
	}
}

// formatNumber returns the table cell for a number.
func formatNumber[T int | int64 | uint64 | float64](n T) string { return fmt.Sprint(n) }
