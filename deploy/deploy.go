// Package deploy embeds the JSON schemas of this folder.
package deploy

import _ "embed"

// OperatorSchema is the JSON schema of the operators' file; `make schema` generates it.
//
//go:embed operator.schema.json
var OperatorSchema []byte

// ExpectationSchema is the JSON schema of a file of routing expectations; `make schema` generates it.
//
//go:embed expectation.schema.json
var ExpectationSchema []byte

// ScenarioSchema is the JSON schema of a script of faults; `make schema` generates it.
//
//go:embed scenario.schema.json
var ScenarioSchema []byte
