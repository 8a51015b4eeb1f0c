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
	// usageError reports a wrong command line or environment.
	usageError struct{ message string }

	// table is rows of cells, the first one the head.
	table [][]string

	// failure is an error in JSON.
	failure struct {
		guavaoperator.ErrorBody
		Asked    string
		ExitCode int
		// Repeat holds the flags that repeat the change harmlessly.
		Repeat string `json:",omitempty"`
	}
)

func (e *usageError) Error() string { return e.message }

// show prints v as JSON, or the table.
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

func (s *session) showJSON(v any) error {
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// warn prints a remark that does not change the exit code.
func (s *session) warn(format string, args ...any) {
	fmt.Fprintf(s.errw, "guavactl: "+format+"\n", args...)
}

func (s *session) warnMissing(daemons []string) {
	if len(daemons) > 0 {
		s.warn("incomplete: these daemons did not answer: %s", strings.Join(daemons, ", "))
	}
}

// fail prints an error and returns the exit code for it.
func (s *session) fail(args []string, err error) int {
	code := exitCode(err)
	asked := strings.Join(args, " ")
	if code != exitUnknown {
		s.repeat = ""
	}
	if s.json {
		_, body := guavaoperator.ErrorResponse(err, true)
		body.MayHaveApplied = code == exitUnknown
		if code == exitUsage && body.Kind == guavaoperator.KindInternal {
			body.Kind = guavaoperator.KindRequest
		}
		enc := json.NewEncoder(s.errw)
		_ = enc.Encode(failure{ErrorBody: body, Asked: asked, ExitCode: code, Repeat: s.repeat})
		return code
	}
	fmt.Fprintf(s.errw, "guavactl: %s: %v\n", asked, err)
	if s.repeat != "" {
		fmt.Fprintf(s.errw, "guavactl: the change may have taken effect; repeat the command with %s\n", s.repeat)
	}
	return code
}

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
	// UnavailableError is matched first, since it may wrap another error.
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

// readFile decodes a file in JSON with comments; "-" is standard input.
func readFile(name string, into any) error {
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
	if err := guavaconfig.Decode(data, into); err != nil {
		return fmt.Errorf("file %s: %w", name, err)
	}
	return nil
}

// size returns cells for cores, memory in MB and accelerators.
func size(r guavascale.Resources) []string {
	return []string{
		fmt.Sprintf("%.3g", float64(r.MilliCores)/1000),
		fmt.Sprint(r.MemoryMB),
		fmt.Sprint(r.Accelerators),
	}
}

func number[T int | int64 | uint64 | float64](n T) string { return fmt.Sprint(n) }
