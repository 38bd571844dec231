package app

// BuildInfo identifies the build that is running.
type BuildInfo struct {
	Version string
}
