// Package schema generates the JSON schemas of the operators' file, of routing expectations and of fault scripts from their Go types,
// and checks texts against them. The router does not link it.
package schema

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/big"
	"slices"
	"strings"
	"unicode/utf8"

	"dunereach/deploy"
	"dunereach/emulator/scenario"
	"dunereach/internal/expect"
	"dunereach/internal/operator"

	reflector "github.com/invopop/jsonschema"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Operator generates the schema of the operators' file.
func Operator() ([]byte, error) {
	return emit(&operator.File{}, "dunereach: the operators' file", boundDurations)
}

// Expectations generates the schema of a file of routing expectations.
func Expectations() ([]byte, error) { return emit(&expect.File{}, "dunereach: routing expectations") }

// Scenarios generates the schema of a script of faults.
func Scenarios() ([]byte, error) {
	return emit(&scenario.File{}, "dunereach: a script of faults for a fleet")
}

func emit(file any, title string, adjust ...func(*reflector.Schema)) ([]byte, error) {
	r := reflector.Reflector{Anonymous: true, ExpandedStruct: true, Mapper: durationSchema}
	s := r.Reflect(file)
	s.Title = title
	for _, f := range adjust {
		f(s)
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	err := e.Encode(s)
	return b.Bytes(), err
}

// Check validates the text of an operators' file. An error is one line with the place and the cause.
func Check(text []byte) error {
	if err := check(deploy.OperatorSchema, text); err != nil {
		return err
	}
	return checkDurations(text)
}

// CheckExpectations validates the text of a file of routing expectations, with errors as for Check.
func CheckExpectations(text []byte) error { return check(deploy.ExpectationSchema, text) }

// CheckScenario validates the text of a script of faults, with errors as for Check.
func CheckScenario(text []byte) error { return check(deploy.ScenarioSchema, text) }

func check(schemaText, text []byte) error {
	if !utf8.Valid(text) {
		return errors.New("it is not UTF-8")
	}
	var raw json.RawMessage
	if err := json.Unmarshal(text, &raw); err != nil {
		return fmt.Errorf("%s: %v", position(text, err), err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return err
	}
	schema, err := compile(schemaText)
	if err != nil {
		return fmt.Errorf("schema: %v", err)
	}
	return firstError(schema.Validate(value))
}

func compile(text []byte) (*jsonschema.Schema, error) {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("schema.json", value); err != nil {
		return nil, err
	}
	return c.Compile("schema.json")
}

// firstError reduces a validation error to one line: the place and the cause of its first leaf, ordered by place.
func firstError(err error) error {
	var v *jsonschema.ValidationError
	if !errors.As(err, &v) {
		return err
	}
	var all []*jsonschema.ValidationError
	var collectLeaves func(v *jsonschema.ValidationError)
	collectLeaves = func(v *jsonschema.ValidationError) {
		if len(v.Causes) == 0 {
			all = append(all, v)
		}
		for _, c := range v.Causes {
			collectLeaves(c)
		}
	}
	collectLeaves(v)
	slices.SortStableFunc(all, func(a, b *jsonschema.ValidationError) int {
		return slices.CompareFunc(a.InstanceLocation, b.InstanceLocation, func(x, y string) int {
			if len(x) != len(y) && strings.Trim(x+y, "0123456789") == "" { // indexes of a list are compared as numbers
				return len(x) - len(y)
			}
			return strings.Compare(x, y)
		})
	})
	return fmt.Errorf("/%s: %s", strings.Join(all[0].InstanceLocation, "/"),
		cause(all[0].ErrorKind))
}

// cause describes an error in terms of the file, where the library's text is in terms of the schema.
func cause(k jsonschema.ErrorKind) string {
	number := func(r *big.Rat) string { f, _ := r.Float64(); return fmt.Sprint(f) }
	switch k := k.(type) {
	case *kind.ExclusiveMinimum:
		return fmt.Sprintf("%s is not over %s", number(k.Got), number(k.Want))
	case *kind.Minimum:
		return fmt.Sprintf("%s is under %s", number(k.Got), number(k.Want))
	case *kind.Maximum:
		return fmt.Sprintf("%s is over %s", number(k.Got), number(k.Want))
	case *kind.MinLength:
		return "it is empty"
	case *kind.Required:
		return fmt.Sprintf("'%s' is missing", strings.Join(k.Missing, "', '"))
	case *kind.AdditionalProperties:
		return fmt.Sprintf("unknown key '%s'", strings.Join(k.Properties, "', '"))
	}
	return k.LocalizedString(message.NewPrinter(language.English))
}

// position returns the place of a JSON syntax error.
func position(text []byte, err error) string {
	var syntax *json.SyntaxError
	at := len(text)
	if errors.As(err, &syntax) {
		at = min(int(syntax.Offset), len(text))
	}
	line := 1 + bytes.Count(text[:at], []byte{'\n'})
	return fmt.Sprintf("line %d, column %d", line, at-bytes.LastIndexByte(text[:at], '\n')-1)
}
