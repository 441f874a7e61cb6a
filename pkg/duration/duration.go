// Package duration provides a time.Duration that is encoded in JSON as a string
// with its unit, such as "250ms", so that no field needs a unit in its name.
package duration

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

type (
	// Duration is a time.Duration that is encoded in JSON as a string with a
	// unit.
	Duration time.Duration
)

// Of converts a time.Duration to a Duration.
func Of(span time.Duration) Duration {
	return Duration(span)
}

// Std converts the duration to a time.Duration.
func (duration Duration) Std() time.Duration {
	return time.Duration(duration)
}

// String returns the duration in the form used in JSON.
func (duration Duration) String() string {
	return time.Duration(duration).String()
}

// MarshalJSON encodes the duration as a string with its unit.
func (duration Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(duration.String())
}

// UnmarshalJSON decodes a string with a unit. It rejects a bare number, as its
// unit would be ambiguous.
func (duration *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`a duration is text with a unit; write it like "250ms" or "5s"`)
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf(`%q is not a duration; write it like "250ms" or "5s"`, text)
	}
	*duration = Duration(span)
	return nil
}
