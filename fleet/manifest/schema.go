package manifest

import (
	"bytes"
	"encoding/json"
	"sync"

	invopop "github.com/invopop/jsonschema"
	"github.com/pkg/errors"
	santhosh "github.com/santhosh-tekuri/jsonschema/v6"

	"wigeonwinch/fleet/structs"
)

// schemaName identifies the schema within the validator.
const schemaName = "manifest.schema.json"

// Schema returns the indented JSON schema of a manifest, terminated by a
// newline.
func Schema() ([]byte, error) {
	reflector := invopop.Reflector{Anonymous: true}
	schema := reflector.Reflect(&structs.Manifest{})
	schema.Title = "wigeonwinch manifest"
	data, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "encode the manifest's JSON schema")
	}
	return append(data, '\n'), nil
}

// compiledSchema returns the validator for manifests.
var compiledSchema = sync.OnceValues(func() (*santhosh.Schema, error) {
	data, err := Schema()
	if err != nil {
		return nil, err
	}
	doc, err := santhosh.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "read the manifest's JSON schema")
	}
	compiler := santhosh.NewCompiler()
	if err := compiler.AddResource(schemaName, doc); err != nil {
		return nil, errors.Wrap(err, "load the manifest's JSON schema")
	}
	schema, err := compiler.Compile(schemaName)
	return schema, errors.Wrap(err, "compile the manifest's JSON schema")
})
