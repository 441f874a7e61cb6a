// Command comfreythread-platform runs comfreythread on the users' platform.
package main

import (
	"os"

	"gitlab.com/comfreythread/comfreythread/platform"
)

func main() {
	os.Exit(platform.Main(os.Stdout, os.Stderr))
}
