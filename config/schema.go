package config

import (
	_ "embed" // For the generated schema.
)

// schemaName is the name that the schema goes by in messages.
const schemaName = "settings.schema.json"

//go:generate go run ./gen

//go:embed settings.schema.json
var schema []byte

// Schema returns the JSON schema of a settings file.
func Schema() []byte { return schema }
