// Package seconds parses durations as operators write them: Go durations ("2s", "1m30s") or plain numbers of seconds.
package seconds

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"
)

// Parse parses a duration. The result is in seconds, finite and not negative.
func Parse(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		duration, parseErr := time.ParseDuration(text)
		if parseErr != nil {
			return 0, fmt.Errorf("%q is not a duration: give a number of seconds or a duration such as 2s, 500ms or 1m30s", text)
		}
		value = duration.Seconds()
	}
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		return 0, fmt.Errorf("%q is not a duration: it has to be finite and not negative", text)
	}
	return value, nil
}

// Flag is the value of a command line flag that takes a duration, in seconds; it implements pflag.Value.
type Flag float64

// String returns the value as a Go duration.
func (f *Flag) String() string { return time.Duration(float64(*f) * float64(time.Second)).String() }

// Set parses the text of the command line; an invalid text leaves the value unchanged.
func (f *Flag) Set(text string) error {
	value, err := Parse(text)
	if err == nil {
		*f = Flag(value)
	}
	return err
}

// Type returns the name of the value in help texts.
func (f *Flag) Type() string { return "duration" }

// Duration is a duration in JSON, in seconds: a number of seconds, or a string that Parse accepts.
type Duration float64

// UnmarshalJSON accepts both forms.
func (l *Duration) UnmarshalJSON(text []byte) error {
	var plain float64
	if err := json.Unmarshal(text, &plain); err == nil {
		*l = Duration(plain)
		return nil
	}
	var duration string
	if err := json.Unmarshal(text, &duration); err != nil {
		return fmt.Errorf("%s is not a duration: give a number of seconds or a string such as \"2s\"", text)
	}
	value, err := Parse(duration)
	if err == nil {
		*l = Duration(value)
	}
	return err
}
