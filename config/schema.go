package config

import (
	_ "embed" // Embeds the generated schema.
)

// schemaName identifies the schema in the validator's messages.
const schemaName = "settings.schema.json"

//go:generate go run ./gen

//go:embed settings.schema.json
var schema []byte

// Schema returns the JSON schema of a settings file.
func Schema() []byte { return schema }
