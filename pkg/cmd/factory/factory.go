// Package factory provides what the commands share: streams, the operators' client,
// flag parsing, output formatting and exit codes.
package factory

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"
	"golang.org/x/sys/unix"

	"github.com/jaystage/jaystage/internal/operator"
)

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFailed is a failure that has no specific exit code.
	ExitFailed = 1
	// ExitUsage is an invalid command line.
	ExitUsage = 2
	// ExitInvalid is an input file with errors.
	ExitInvalid = 3
	// ExitConflict is a change that conflicts with another operator's.
	ExitConflict = 4
)

const operatorTimeout = 30 * time.Second

// ExitError is an error with an exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for an error returned by a command.
func ExitCode(err error) int {
	var coded *ExitError
	var status *operator.StatusError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.As(err, &coded):
		return coded.Code
	case errors.As(err, &status) && status.Status == http.StatusConflict:
		return ExitConflict
	default:
		return ExitFailed
	}
}

// SingleArg returns the only argument of a command, or a usage error with the text
// usage when there is not exactly one.
func SingleArg(args []string, usage string) (string, error) {
	if len(args) != 1 {
		return "", &ExitError{Code: ExitUsage, Err: errors.New(usage)}
	}
	return args[0], nil
}

// Streams holds the input and output of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is true when Out is a terminal; output must be plain text otherwise.
	Terminal bool
}

// Factory holds the dependencies that are passed to the constructor of every command.
type Factory struct {
	Streams Streams
	HTTP    *http.Client
}

// New returns a factory that uses the standard streams of the process.
func New() *Factory {
	_, err := unix.IoctlGetTermios(int(os.Stdout.Fd()), unix.TCGETS)
	return &Factory{
		Streams: Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: err == nil},
		HTTP:    &http.Client{Timeout: operatorTimeout},
	}
}

// Target holds the flags shared by all commands that connect to a node.
type Target struct {
	Address string
	Token   string
	JSON    bool
}

// ParseOptions returns the flag parsing options of the commands. Every flag can also be
// set with an environment variable: JAYSTAGE_ followed by the name of the flag in upper
// case, with underscores instead of dashes.
func ParseOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix("JAYSTAGE")}
}

// NewFlagSet returns a flag set that returns parse errors instead of exiting.
func (f *Factory) NewFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(f.Streams.Err)
	return fs
}

// Bind defines the flags in a flag set.
func (t *Target) Bind(fs *flag.FlagSet) {
	fs.StringVar(&t.Address, "address", "127.0.0.1:7003", "host:port of a node's listener for operators (JAYSTAGE_ADDRESS)")
	fs.StringVar(&t.Token, "token", "", "operator's bearer token (JAYSTAGE_TOKEN)")
	fs.BoolVar(&t.JSON, "json", false, "print JSON")
}

// Client returns a client for the operators' API of the target node.
func (f *Factory) Client(t Target) *operator.Client {
	return &operator.Client{Address: t.Address, Token: t.Token, HTTP: f.HTTP}
}

// PrintJSON writes v as indented JSON.
func (s Streams) PrintJSON(v any) error {
	enc := json.NewEncoder(s.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// PrintTable writes a header and rows as aligned columns.
func (s Streams) PrintTable(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
