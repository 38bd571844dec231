// Command gen writes the JSON schema and the reference page of the settings
// from the Settings struct.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/go-faster/errors"
	"github.com/invopop/jsonschema"

	"buckthornpin"
	"buckthornpin/config"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run writes settings.schema.json to the working directory, which go generate sets to the
// folder of package config, and SETTINGS.md to ../docs.
func run() error {
	schema, err := reflectSchema()
	if err != nil {
		return err
	}
	data, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode schema")
	}
	if err := os.WriteFile("settings.schema.json", append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write schema")
	}
	page, err := renderReference(schema)
	if err != nil {
		return err
	}
	return buckthornpin.WrapIf(os.WriteFile(filepath.Join("..", "docs", "SETTINGS.md"), []byte(page), 0o644), "write reference")
}

// reflectSchema derives the schema from the Settings struct. The descriptions are the doc
// comments of its fields.
func reflectSchema() (*jsonschema.Schema, error) {
	r := &jsonschema.Reflector{
		ExpandedStruct:             true,
		DoNotReference:             true,
		RequiredFromJSONSchemaTags: true,
		Mapper:                     durationSchema,
	}
	if err := r.AddGoComments("buckthornpin/config", "."); err != nil {
		return nil, errors.Wrap(err, "read comments")
	}
	return r.Reflect(&config.Settings{}), nil
}

// durationSchema describes durations, which are strings in JSON.
func durationSchema(t reflect.Type) *jsonschema.Schema {
	if t == reflect.TypeFor[config.Duration]() {
		return &jsonschema.Schema{Type: "string", Pattern: `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$`}
	}
	return nil
}

// renderReference renders the schema as a Markdown page with one table row for each
// setting.
func renderReference(schema *jsonschema.Schema) (string, error) {
	defaults, err := json.Marshal(config.Defaults())
	if err != nil {
		return "", errors.Wrap(err, "encode defaults")
	}
	var values map[string]any
	if err := json.Unmarshal(defaults, &values); err != nil {
		return "", errors.Wrap(err, "decode defaults")
	}
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from `config.Settings` by `go generate ./config`; don't edit.\n")
	b.WriteString("Files are JSON: one base file, and overlays that are merged into it (RFC 7396).\n\n")
	b.WriteString("| setting | type | default | meaning |\n| --- | --- | --- | --- |\n")
	writeRows(&b, "", schema, values)
	return b.String(), nil
}

// writeRows writes the rows of a schema's properties, those of nested objects under their
// path. values are the defaults.
func writeRows(b *strings.Builder, prefix string, s *jsonschema.Schema, values map[string]any) {
	for p := s.Properties.Oldest(); p != nil; p = p.Next() {
		name := prefix + p.Key
		if p.Value.Properties != nil && p.Value.Properties.Len() > 0 {
			nested, _ := values[p.Key].(map[string]any)
			writeRows(b, name+".", p.Value, nested)
			continue
		}
		text := strings.Join(strings.Fields(p.Value.Description), " ")
		value, _ := json.Marshal(values[p.Key])
		fmt.Fprintf(b, "| `%s` | %s | `%s` | %s |\n", name, p.Value.Type, value, text)
	}
}
