// Package telemetry contains the catalogue of numbered log events, the loggers, the text form of the metrics and the tracer
// provider. Both kinds of instance use it.
package telemetry

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a kind of log line, identified by a number that never changes. docs/events.md lists all events.
type Event struct {
	Number int
	Level  zapcore.Level
	Text   string
}

// catalogue contains every defined event by number.
var catalogue = map[int]Event{}

// define adds an event to the catalogue and returns it. Using a number twice is a programming error and panics.
func define(number int, level zapcore.Level, text string) Event {
	if _, ok := catalogue[number]; ok {
		panic("duplicate event number")
	}
	e := Event{Number: number, Level: level, Text: text}
	catalogue[number] = e
	return e
}

// Catalogue returns all events by number. Callers must not change the map.
func Catalogue() map[int]Event { return catalogue }

// Log writes the event with fields to logger, if its level is enabled. Fields must not contain customer keys.
func (e Event) Log(logger *zap.Logger, fields ...zap.Field) {
	if entry := logger.Check(e.Level, e.Text); entry != nil {
		entry.Write(append(fields, zap.Int("event", e.Number))...)
	}
}
