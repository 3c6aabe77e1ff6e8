// Command jaystage-platform runs one process of a deployment on the users' platform.
// The settings file that the platform passes selects which process.
package main

import (
	"context"
	"os"

	"github.com/jaystage/jaystage/platform"
)

func main() {
	os.Exit(platform.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
