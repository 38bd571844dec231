package buckthornpin

// MaxTokens is the largest number of tokens that a budget or one request may have. Sums over
// the requests and routers of a fleet, and products with a limit's time in milliseconds, stay
// far enough below the largest int64.
const MaxTokens = int64(1) << 50

// IsTokenCount reports whether n is a number of tokens from 0 to MaxTokens.
func IsTokenCount(n int64) bool { return n >= 0 && n <= MaxTokens }
