// Command jaystage-platform runs one process of a deployment on the users' platform.
// The platform says which one in the settings file.
package main

import (
	"context"
	"os"

	"github.com/jaystage/jaystage/platform"
)

func main() {
	os.Exit(platform.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
