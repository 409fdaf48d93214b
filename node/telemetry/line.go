package telemetry

import (
	"encoding/json"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/sirupsen/logrus"

	"wigeonwinch/node/events"
)

// lineKey is the logger's field that holds a line.
const lineKey = "line"

// line is one recorded event on its way to the log. An owner writes three for
// each task, so that they are put together without maps and reflection.
type line struct {
	identity   Identity
	definition events.Definition
	fields     events.Fields
	detail     string
}

// lineFormatter writes lines as JSON, and all else as logrus does.
type lineFormatter struct{ other logrus.JSONFormatter }

func newLineFormatter() *lineFormatter {
	return &lineFormatter{logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}}
}

// lineBytes is the usual length of a line.
const lineBytes = 512

// Format implements logrus.Formatter.
func (f *lineFormatter) Format(e *logrus.Entry) ([]byte, error) {
	l, ok := e.Data[lineKey].(line)
	if !ok {
		return f.other.Format(e)
	}
	o := objectWriter{append(make([]byte, 0, lineBytes), '{')}
	o.text("detail", l.detail)
	o.number("event", int64(l.definition.Number))
	o.number("age_ms", l.fields.AgeMS)
	o.number("epoch", l.fields.Epoch)
	o.raw("level")
	o.value(e.Level.String())
	o.text("msg", e.Message)
	o.text("name", l.definition.Name)
	o.text("node", l.identity.Node)
	o.number("offset", int64(l.fields.Offset))
	o.text("outcome", l.fields.Outcome)
	o.text("peer", l.fields.Peer)
	o.text("pool", l.fields.Pool)
	o.text("remedy", l.definition.Remedy)
	o.text("request", l.fields.Request)
	o.number("run", int64(l.fields.Run))
	o.text("service", l.fields.Service)
	if l.fields.Epoch != 0 {
		o.raw("shard")
		o.bytes = strconv.AppendInt(o.bytes, int64(l.fields.Shard), 10)
	}
	o.text("task", l.fields.Task)
	o.text("team", l.fields.Team)
	o.raw("time")
	o.bytes = append(e.Time.AppendFormat(append(o.bytes, '"'), time.RFC3339Nano), '"')
	o.text("vm", l.fields.VM)
	o.text("zone", l.identity.Zone)
	return append(o.bytes, '}', '\n'), nil
}

// objectWriter appends the members of one JSON object; empty ones are left out.
type objectWriter struct{ bytes []byte }

func (o *objectWriter) raw(key string) {
	if len(o.bytes) > 1 {
		o.bytes = append(o.bytes, ',')
	}
	o.bytes = append(append(append(o.bytes, '"'), key...), '"', ':')
}

func (o *objectWriter) number(key string, value int64) {
	if value == 0 {
		return
	}
	o.raw(key)
	o.bytes = strconv.AppendInt(o.bytes, value, 10)
}

func (o *objectWriter) text(key, value string) {
	if value == "" {
		return
	}
	o.raw(key)
	o.value(value)
}

// value appends a JSON string.
func (o *objectWriter) value(s string) {
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
