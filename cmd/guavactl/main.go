// Command guavactl is the command-line client for operators. It calls the
// operator API of a daemon, prints tables for people or JSON for programs,
// and reports the outcome of the call by its exit code.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"guavascale.example/guavaconfig"
	"guavascale.example/guavaoperator"
)

// The exit codes, as listed in the help of the program.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitNotFound    = 4
	exitUnavailable = 5
	exitUnknown     = 6
)

type (
	// cli defines the flags and commands.
	cli struct {
		Address   []string      `help:"Operator addresses of daemons, each as host and port. The next one is tried when a connection is refused." placeholder:"HOST:PORT" env:"GUAVACTL_ADDRESS" default:"127.0.0.1:7401"`
		TokenFile string        `help:"File with the token. GUAVACTL_TOKEN, if set, is used instead. There is no flag for the token itself, since other users of the host could read it." env:"GUAVACTL_TOKEN_FILE" placeholder:"FILE"`
		Output    string        `help:"Output format: table for people or json for programs." short:"o" enum:"table,json" default:"table"`
		Timeout   time.Duration `help:"Timeout of the whole command." default:"20s"`

		Config   configCmd   `cmd:"" help:"Show the whole configuration document."`
		Presets  presetsCmd  `cmd:"" help:"Create, list, show and use presets."`
		Zones    zonesCmd    `cmd:"" help:"List availability zones, take them out of service and bring them back."`
		Services servicesCmd `cmd:"" help:"Declare, list, show and remove services."`
		Jobs     jobsCmd     `cmd:"" help:"Declare, list, show and cancel batch jobs."`
		Quotas   quotasCmd   `cmd:"" help:"Set, list and remove quotas of teams."`
		Tasks    tasksCmd    `cmd:"" help:"List tasks."`
		Hosts    hostsCmd    `cmd:"" help:"List workers."`
		Accounts accountsCmd `cmd:"" help:"List client accounts with their use and limits."`
		Dump     dumpCmd     `cmd:"" help:"Show the state of one daemon."`
		Version  versionCmd  `cmd:"" help:"Show the version of guavactl."`
	}

	// session holds the client and the outputs of one run of the program.
	session struct {
		ctx    context.Context
		client *guavaoperator.Client
		out    io.Writer
		errOut io.Writer
		json   bool
		// retryFlags holds the flags with which the command can be repeated
		// without applying the change twice. It is empty until a change is sent.
		retryFlags string
	}
)

// Help returns the detailed help of the program.
func (cli) Help() string {
	return `Examples:

    export GUAVACTL_ADDRESS=10.0.0.1:7401,10.0.0.2:7401
    export GUAVACTL_TOKEN_FILE=$HOME/.guavactl-token
    guavactl presets create examples/presets/breizh-peak.jsonc
    guavactl presets use peak
    guavactl zones out Brest
    guavactl jobs list --state Unplaceable
    guavactl tasks --job audit-2026 --output json

A command that changes something prints its ID. Repeating the command with
--id ID is harmless; do so when the outcome is unknown.

Exit codes:

    0  done
    1  failed for a reason without a code of its own
    2  wrong command line, file or value; nothing was changed
    3  conflict: another version is in force, or another job has the ID
    4  not found
    5  no daemon, or not its store, could be reached; nothing was changed
    6  outcome unknown: the change may have taken effect`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errOut io.Writer) int {
	var c cli
	exited, code := false, exitOK
	parser, err := kong.New(&c,
		kong.Name("guavactl"),
		kong.Description("Operate guavascale."),
		kong.Writers(out, errOut),
		kong.Exit(func(n int) { exited, code = true, n }),
	)
	if err != nil {
		fmt.Fprintln(errOut, "guavactl:", err)
		return exitFailure
	}
	parsed, err := parser.Parse(args)
	if exited {
		return code
	}
	if err != nil {
		fmt.Fprintf(errOut, "guavactl: %v; see guavactl --help\n", err)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	s := &session{ctx: ctx, out: out, errOut: errOut, json: c.Output == "json"}
	if err := s.connect(c, parsed.Command()); err != nil {
		return s.fail(args, err)
	}
	if err := parsed.Run(s); err != nil {
		return s.fail(args, err)
	}
	return exitOK
}

// connect reads the credential and creates the client. It opens no connection.
func (s *session) connect(c cli, command string) error {
	if command == "version" || strings.HasPrefix(command, "accounts ") {
		// Metrics listeners need no credential.
		return nil
	}
	token := os.Getenv("GUAVACTL_TOKEN")
	if token == "" {
		if c.TokenFile == "" {
			return &usageError{"no credential: set GUAVACTL_TOKEN or GUAVACTL_TOKEN_FILE"}
		}
		data, err := os.ReadFile(c.TokenFile)
		if err != nil {
			return &usageError{err.Error()}
		}
		token = strings.TrimSpace(string(data))
	}
	s.client = &guavaoperator.Client{
		Addresses: c.Address,
		Token:     guavaconfig.Secret(token),
		Timeout:   c.Timeout,
	}
	return nil
}
