// Package seconds reads lengths of time as operators write them: Go's durations ("2s", "1m30s"), or a plain number of seconds.
package seconds

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"
)

// Parse reads a length of time. The result is in seconds, finite and not negative.
func Parse(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		duration, parseErr := time.ParseDuration(text)
		if parseErr != nil {
			return 0, fmt.Errorf("%q is no length of time: give a number of seconds or a duration such as 2s, 500ms or 1m30s", text)
		}
		value = duration.Seconds()
	}
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		return 0, fmt.Errorf("%q is no length of time: it has to be finite and not negative", text)
	}
	return value, nil
}

// Flag is a flag of a command line that holds a length of time; it implements pflag.Value.
type Flag float64

// String is the length as a duration.
func (f *Flag) String() string { return time.Duration(float64(*f) * float64(time.Second)).String() }

// Set reads what the command line has.
func (f *Flag) Set(text string) error {
	value, err := Parse(text)
	if err == nil {
		*f = Flag(value)
	}
	return err
}

// Type is the name of the value in help texts.
func (f *Flag) Type() string { return "duration" }

// Length is a length of time in a JSON text: a number of seconds, or a string with a duration.
type Length float64

// UnmarshalJSON reads either form.
func (l *Length) UnmarshalJSON(text []byte) error {
	var plain float64
	if err := json.Unmarshal(text, &plain); err == nil {
		*l = Length(plain)
		return nil
	}
	var duration string
	if err := json.Unmarshal(text, &duration); err != nil {
		return fmt.Errorf("%s is no length of time: a number of seconds or a string such as \"2s\" is wanted", text)
	}
	value, err := Parse(duration)
	if err == nil {
		*l = Length(value)
	}
	return err
}
