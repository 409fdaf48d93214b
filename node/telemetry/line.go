package telemetry

import (
	"encoding/json"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/sirupsen/logrus"

	"wigeonwinch/node/events"
)

// eventLineKey is the logrus field that holds the eventLine of an entry.
const eventLineKey = "line"

// eventLine is an event to be logged. A shard owner logs three events for each
// task, therefore they are encoded without maps and reflection.
type eventLine struct {
	identity   Identity
	definition events.Definition
	fields     events.Fields
	detail     string
}

// eventFormatter formats events as JSON. It formats all other entries with the
// JSON formatter of logrus.
type eventFormatter struct{ fallback logrus.JSONFormatter }

func newEventFormatter() *eventFormatter {
	return &eventFormatter{logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}}
}

// initialLineBytes is the initial buffer size for a line. Most lines fit.
const initialLineBytes = 512

// Format implements logrus.Formatter.
func (f *eventFormatter) Format(e *logrus.Entry) ([]byte, error) {
	l, ok := e.Data[eventLineKey].(eventLine)
	if !ok {
		return f.fallback.Format(e)
	}
	o := objectWriter{append(make([]byte, 0, initialLineBytes), '{')}
	o.stringField("detail", l.detail)
	o.intField("event", int64(l.definition.Number))
	o.intField("age_ms", l.fields.AgeMS)
	o.intField("epoch", l.fields.Epoch)
	o.key("level")
	o.stringValue(e.Level.String())
	o.stringField("msg", e.Message)
	o.stringField("name", l.definition.Name)
	o.stringField("node", l.identity.Node)
	o.intField("offset", int64(l.fields.Offset))
	o.stringField("outcome", l.fields.Outcome)
	o.stringField("peer", l.fields.Peer)
	o.stringField("pool", l.fields.Pool)
	o.stringField("remedy", l.definition.Remedy)
	o.stringField("request", l.fields.Request)
	o.intField("run", int64(l.fields.Run))
	o.stringField("service", l.fields.Service)
	if l.fields.Epoch != 0 {
		o.key("shard")
		o.bytes = strconv.AppendInt(o.bytes, int64(l.fields.Shard), 10)
	}
	o.stringField("task", l.fields.Task)
	o.stringField("team", l.fields.Team)
	o.key("time")
	o.bytes = append(e.Time.AppendFormat(append(o.bytes, '"'), time.RFC3339Nano), '"')
	o.stringField("vm", l.fields.VM)
	o.stringField("zone", l.identity.Zone)
	return append(o.bytes, '}', '\n'), nil
}

// objectWriter encodes a JSON object. It omits fields that are empty or zero.
type objectWriter struct{ bytes []byte }

func (o *objectWriter) key(key string) {
	if len(o.bytes) > 1 {
		o.bytes = append(o.bytes, ',')
	}
	o.bytes = append(append(append(o.bytes, '"'), key...), '"', ':')
}

func (o *objectWriter) intField(key string, value int64) {
	if value == 0 {
		return
	}
	o.key(key)
	o.bytes = strconv.AppendInt(o.bytes, value, 10)
}

func (o *objectWriter) stringField(key, value string) {
	if value == "" {
		return
	}
	o.key(key)
	o.stringValue(value)
}

// stringValue appends s as a JSON string. Only strings that need escaping are
// passed to json.Marshal.
func (o *objectWriter) stringValue(s string) {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= utf8.RuneSelf || c == '"' || c == '\\' {
			quoted, err := json.Marshal(s)
			if err != nil {
				quoted = strconv.AppendQuoteToASCII(nil, err.Error())
			}
			o.bytes = append(o.bytes, quoted...)
			return
		}
	}
	o.bytes = append(append(append(o.bytes, '"'), s...), '"')
}
