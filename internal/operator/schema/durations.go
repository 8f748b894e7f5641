package schema

import (
	"encoding/json"
	"fmt"
	"reflect"

	"dunereach/internal/seconds"

	reflector "github.com/invopop/jsonschema"
)

// durations of time in the operators' file: where they stand and the most that each may be, in seconds.
var durations = []struct {
	section, key, definition string
	maxSeconds               float64
}{
	{"state", "snapshot_s", "State", 3600},
	{"state", "record_s", "State", 3600},
	{"expect", "seconds", "Expect", 600},
}

// durationSchema is the schema of types that stand for two forms in JSON.
func durationSchema(t reflect.Type) *reflector.Schema {
	if t != reflect.TypeFor[seconds.Length]() {
		return nil
	}
	return &reflector.Schema{AnyOf: []*reflector.Schema{{Type: "number", Minimum: "0"}, {Type: "string"}}}
}

// boundDurations puts each length's bound into the schema. A duration's is checked by checkLengths.
func boundDurations(s *reflector.Schema) {
	for _, l := range durations {
		property, ok := s.Definitions[l.definition].Properties.Get(l.key)
		if !ok {
			panic("no property " + l.key) // a fault of this table, found when the schema is made
		}
		property.AnyOf[0].Maximum = json.Number(fmt.Sprint(l.maxSeconds))
	}
}

// checkDurations of a text that is as the schema says: those given as durations.
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
