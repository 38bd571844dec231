package app

// BuildInfo says which build is running.
type BuildInfo struct {
	Version string
}
