// Command jaystage runs a node of the serving system and provides the operators'
// command line.
package main

import (
	"context"
	"os"

	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/cmd/root"
)

func main() {
	os.Exit(root.Main(context.Background(), factory.New(), os.Args[1:]))
}
