// Package completion prints shell completion scripts.
package completion

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/pkg/cmd/factory"
)

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams factory.Streams
	// Root returns the command tree to generate completions for.
	Root  func() *ffcli.Command
	Shell string
}

// NewCmdCompletion returns the command "completion".
func NewCmdCompletion(f *factory.Factory, root func() *ffcli.Command) *ffcli.Command {
	opts := &Options{Streams: f.Streams, Root: root}
	return &ffcli.Command{
		Name: "completion", ShortUsage: "jaystage completion bash|zsh", ShortHelp: "Print a shell completion script",
		LongHelp: "Example:\n  source <(jaystage completion bash)", FlagSet: f.NewFlagSet("completion"),
		Exec: func(_ context.Context, args []string) error {
			name, err := factory.SingleArg(args, "specify one shell: jaystage completion bash|zsh")
			if err != nil {
				return err
			}
			opts.Shell = name
			return completionRun(opts)
		},
	}
}

func completionRun(opts *Options) error {
	switch opts.Shell {
	case "zsh":
		// zsh runs the bash script through its bashcompinit compatibility layer.
		_, _ = fmt.Fprintln(opts.Streams.Out, "autoload -U +X bashcompinit && bashcompinit")
	case "bash":
	default:
		return &factory.ExitError{Code: factory.ExitUsage, Err: fmt.Errorf("unsupported shell %q; use bash or zsh", opts.Shell)}
	}
	return writeScript(opts.Streams.Out, opts.Root())
}

func writeScript(w io.Writer, root *ffcli.Command) error {
	var cases strings.Builder
	addCases(&cases, root, "")
	_, err := fmt.Fprintf(w, `_jaystage() {
  local path="" i
  for ((i = 1; i < COMP_CWORD; i++)); do
    case "${COMP_WORDS[i]}" in
      -*) ;;
      *) path="$path/${COMP_WORDS[i]}" ;;
    esac
  done
  local words=""
  case "$path" in
%s  esac
  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _jaystage jaystage
`, cases.String())
	return err
}

func addCases(b *strings.Builder, c *ffcli.Command, path string) {
	var words []string
	for _, sub := range c.Subcommands {
		words = append(words, sub.Name)
	}
	c.FlagSet.VisitAll(func(f *flag.Flag) { words = append(words, "--"+f.Name) })
	fmt.Fprintf(b, "    '%s') words='%s' ;;\n", path, strings.Join(words, " "))
	for _, sub := range c.Subcommands {
		addCases(b, sub, path+"/"+sub.Name)
	}
}
