package app

import (
	"github.com/rs/zerolog"

	"buckthornpin/route"
)

// logLimit logs a changed limit of an endpoint. heard tells whether an answer to this
// router named it or another router reported it.
func logLimit(log zerolog.Logger, l route.RateLimit, heard bool) {
	log.Info().Str("endpoint", l.Endpoint).Bool("limited", l.Limited).Float64("per_second", l.PerSecond).Int64("version", l.Version).
		Bool("heard", heard).Msg("endpoint's limit has changed")
}
