// Package explain finds the log lines of one request in the logs of store-based instances and prints them in order, with
// the versions of the configuration and of the key ranges on which the decisions were based. The subcommand explain uses
// it. It also holds the answer to the question where a request would go, for the subcommand where.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// ErrNotFound means that no log line contains the request's id.
var ErrNotFound = errors.New("no log line contains the request; its lines may have exceeded the log's budget, see event 2190")

// Source is a log and its name in the output.
type Source struct {
	Name   string
	Reader io.Reader
}

// line is a decoded log line.
type line struct {
	source string
	at     float64 // seconds since 1970
	fields map[string]any
}

// viewFields maps the fields that contain the versions on which a decision was based to a part of the message that
// reports a new version. The texts must match the messages of the events in package telemetry.
var viewFields = map[string]string{"config": "configuration in force", "table": "table of key ranges"}

// maxLine is the maximum length of a line in bytes.
const maxLine = 1 << 20

// Request writes the lines that contain a request's id, ordered by time. Before each line it writes the lines with which
// the same instance reported the versions in that line. It returns ErrNotFound if no line contains the id, and errors of
// reading the logs or writing to out.
func Request(out io.Writer, sources []Source, request string) error {
	var found, views []line
	for _, s := range sources {
		lines, err := read(s)
		if err != nil {
			return errors.Wrapf(err, "read %s", s.Name)
		}
		for _, l := range lines {
			switch {
			case l.fields["request"] == request:
				found = append(found, l)
			case l.fields["version"] != nil:
				views = append(views, l)
			}
		}
	}
	if len(found) == 0 {
		return ErrNotFound
	}
	slices.SortStableFunc(found, byTime)
	written := map[string]bool{}
	for _, l := range found {
		for _, v := range viewsOf(l, views) {
			if text := v.String(); !written[text] {
				written[text] = true
				if _, err := fmt.Fprintf(out, "  seen by it: %s\n", text); err != nil {
					return err
				}
			}
		}
		if _, err := fmt.Fprintln(out, l); err != nil {
			return err
		}
	}
	return nil
}

func byTime(a, b line) int {
	switch {
	case a.at < b.at:
		return -1
	case a.at > b.at:
		return 1
	default:
		return 0
	}
}

// read returns the JSON lines of a log. It skips text before the first brace, such as the prefix of a log collector.
func read(s Source) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(s.Reader)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		raw := scanner.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		fields := map[string]any{}
		if err := json.Unmarshal(raw[start:], &fields); err != nil {
			continue // truncated when the process terminated
		}
		at, _ := fields["ts"].(float64)
		lines = append(lines, line{source: s.Name, at: at, fields: fields})
	}
	return lines, scanner.Err()
}

// viewsOf returns the lines with which the instance of l reported the versions in l.
func viewsOf(l line, views []line) []line {
	var result []line
	for _, field := range slices.Sorted(maps.Keys(viewFields)) {
		for _, v := range views {
			text, _ := v.fields["msg"].(string)
			matches := strings.Contains(text, viewFields[field]) && v.fields["version"] == l.fields[field]
			if matches && v.fields["instance"] == l.fields["instance"] && v.at <= l.at {
				result = append(result, v)
			}
		}
	}
	return result
}

// positionalFields are the fields that String writes at fixed positions, and level, which it omits.
var positionalFields = map[string]bool{"ts": true, "msg": true, "level": true, "event": true, "instance": true}

// String formats a line: time, log, instance, event, message and the other fields sorted by name.
func (l line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.6f %s %v [%v] %v", l.at, l.source, l.fields["instance"], l.fields["event"], l.fields["msg"])
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		if !positionalFields[name] {
			fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
		}
	}
	return b.String()
}
