package config

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/go-faster/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Load reads a base file and overlays. Each overlay is a JSON merge patch (RFC 7396) that
// is applied to the result of the files before it. The error names every problem of the
// merged settings.
func Load(paths ...string) (Settings, error) {
	if len(paths) == 0 {
		return Settings{}, &Error{Op: "load", Kind: KindRead, Err: errors.New("expected a base file")}
	}
	merged := []byte("{}")
	for _, path := range paths {
		patched, err := mergeFile(merged, path)
		if err != nil {
			return Settings{}, err
		}
		merged = patched
	}
	s, err := Decode(merged)
	if err != nil {
		return s, &Error{Op: strings.Join(paths, " + "), Kind: KindInvalid, Err: err}
	}
	return s, nil
}

// mergeFile applies the JSON merge patch in a file to the settings merged so far.
func mergeFile(merged []byte, path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "load", Kind: KindRead, Err: err}
	}
	if err := checkSyntax(data); err != nil {
		return nil, &Error{Op: path, Kind: KindInvalid, Err: err}
	}
	out, err := jsonpatch.MergePatch(merged, data)
	if err != nil {
		return nil, &Error{Op: path, Kind: KindInvalid, Err: err}
	}
	return out, nil
}

// checkSyntax returns an error with the line of a syntax error, or if the file isn't a
// JSON object.
func checkSyntax(data []byte) error {
	var v map[string]json.RawMessage
	err := json.Unmarshal(data, &v)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
		return errors.Errorf("line %d: %v", line, err)
	}
	if err != nil {
		return errors.New("expected a JSON object")
	}
	return nil
}

// Decode decodes merged settings, fills in the defaults and checks the result.
func Decode(data []byte) (Settings, error) {
	s := Defaults()
	if err := checkSchema(data); err != nil {
		return s, err
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, errors.Wrap(err, "decode settings")
	}
	return s, s.Check()
}

// checkSchema reports all unknown fields and wrong types at once.
func checkSchema(data []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(Schema()))
	if err != nil {
		return errors.Wrap(err, "schema")
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaName, doc); err != nil {
		return errors.Wrap(err, "schema")
	}
	compiled, err := c.Compile(schemaName)
	if err != nil {
		return errors.Wrap(err, "schema")
	}
	instance, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	return flattenValidationError(compiled.Validate(instance))
}

// flattenValidationError turns the validator's tree of errors into one line for each
// problem.
func flattenValidationError(err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	var problems []error
	var walk func(e *jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		for _, c := range e.Causes {
			walk(c)
		}
		if len(e.Causes) == 0 {
			field := strings.Join(e.InstanceLocation, ".")
			text := e.Error()
			// The text begins with the location, which field already names.
			if i := strings.LastIndex(text, "': "); i >= 0 {
				text = text[i+3:]
			}
			problems = append(problems, errors.Errorf("%s: %s", field, strings.TrimSpace(text)))
		}
	}
	walk(invalid)
	return errors.Join(problems...)
}
