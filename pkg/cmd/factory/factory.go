// Package factory gives commands what they share: streams, the operators' client
// and the exit codes.
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
	// ExitFailed is any failure that has no code of its own.
	ExitFailed = 1
	// ExitUsage is a command line that cannot be read.
	ExitUsage = 2
	// ExitInvalid is a file that holds errors.
	ExitInvalid = 3
	// ExitConflict is a change that lost against another operator's.
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

// Unwrap returns the error behind the exit code.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for a command's error.
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

// SingleArg returns the only argument of a command. usage says what to name and how.
func SingleArg(args []string, usage string) (string, error) {
	if len(args) != 1 {
		return "", &ExitError{Code: ExitUsage, Err: errors.New(usage)}
	}
	return args[0], nil
}

// Streams are a command's input and output.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Terminal is true when Out is a terminal; output is plain otherwise.
	Terminal bool
}

// Factory is passed to every command's constructor.
type Factory struct {
	Streams Streams
	HTTP    *http.Client
}

// New returns a factory for the process's own streams.
func New() *Factory {
	_, err := unix.IoctlGetTermios(int(os.Stdout.Fd()), unix.TCGETS)
	return &Factory{
		Streams: Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: err == nil},
		HTTP:    &http.Client{Timeout: operatorTimeout},
	}
}

// Target holds the flags that every operator command has.
type Target struct {
	Address string
	Token   string
	JSON    bool
}

// ParseOptions lets every flag be set by an environment variable JAYSTAGE_FLAG.
func ParseOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix("JAYSTAGE")}
}

// NewFlagSet returns a flag set that reports its errors instead of exiting.
func (f *Factory) NewFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(f.Streams.Err)
	return fs
}

// Bind adds the flags of an operator command to a flag set.
func (t *Target) Bind(fs *flag.FlagSet) {
	fs.StringVar(&t.Address, "address", "127.0.0.1:7003", "host:port of a node's operators' listener (JAYSTAGE_ADDRESS)")
	fs.StringVar(&t.Token, "token", "", "operator's bearer token (JAYSTAGE_TOKEN)")
	fs.BoolVar(&t.JSON, "json", false, "print JSON")
}

// Client returns the operators' client for the flags.
func (f *Factory) Client(t Target) *operator.Client {
	return &operator.Client{Address: t.Address, Token: t.Token, HTTP: f.HTTP}
}

// PrintJSON writes v as indented JSON.
func (s Streams) PrintJSON(v any) error {
	enc := json.NewEncoder(s.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// PrintTable writes aligned columns under a header.
func (s Streams) PrintTable(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
