// Command buckthornpin runs routers and control replicas, and provides the tools
// of operators and developers.
package main

import (
	"os"

	"buckthornpin/app"
)

// version is set at build time with -ldflags "-X main.version=...".
var version = "dev"

func main() {
	os.Exit(app.Main(app.BuildInfo{Version: version}, os.Args, os.Stdout, os.Stderr))
}
