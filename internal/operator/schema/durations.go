package schema

import (
	"encoding/json"
	"fmt"
	"reflect"

	"dunereach/internal/seconds"

	reflector "github.com/invopop/jsonschema"
)

// durations lists the keys of the operators' file that hold a duration, with the maximum of each in seconds.
var durations = []struct {
	section, key, definition string
	maxSeconds               float64
}{
	{"state", "snapshot_s", "State", 3600},
	{"state", "record_s", "State", 3600},
	{"expect", "seconds", "Expect", 600},
}

// durationSchema returns the schema of seconds.Duration, which has two forms in JSON: a number or a string.
func durationSchema(t reflect.Type) *reflector.Schema {
	if t != reflect.TypeFor[seconds.Duration]() {
		return nil
	}
	return &reflector.Schema{AnyOf: []*reflector.Schema{{Type: "number", Minimum: "0"}, {Type: "string"}}}
}

// boundDurations adds the maximum of each key to the schema, for the number form. checkDurations checks the string form.
func boundDurations(s *reflector.Schema) {
	for _, l := range durations {
		property, ok := s.Definitions[l.definition].Properties.Get(l.key)
		if !ok {
			panic("no property " + l.key) // an error in the table above, found when the schema is generated
		}
		property.AnyOf[0].Maximum = json.Number(fmt.Sprint(l.maxSeconds))
	}
}

// checkDurations checks the durations that a text gives as strings. The text must already match the schema.
func checkDurations(text []byte) error {
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(text, &sections); err != nil {
		return err
	}
	for _, l := range durations {
		var section map[string]json.RawMessage
		if sections[l.section] == nil {
			continue
		}
		if err := json.Unmarshal(sections[l.section], &section); err != nil {
			return err
		}
		var duration string
		if json.Unmarshal(section[l.key], &duration) != nil {
			continue // absent, or a number, whose bounds are in the schema
		}
		value, err := seconds.Parse(duration)
		if err == nil && value > l.maxSeconds {
			err = fmt.Errorf("%s is over %g s", duration, l.maxSeconds)
		}
		if err != nil {
			return fmt.Errorf("/%s/%s: %v", l.section, l.key, err)
		}
	}
	return nil
}
