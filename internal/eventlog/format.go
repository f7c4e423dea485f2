package eventlog

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// formatter encodes entries as JSON objects with sorted fields. For the types that the router logs it does the same as
// logrus.JSONFormatter, in a fraction of the CPU time.
type formatter struct {
	mu    sync.Mutex
	names []string
	line  []byte
}

// Format implements logrus.Formatter. The result is valid until the next call.
func (f *formatter) Format(entry *logrus.Entry) ([]byte, error) {
	f.names = f.names[:0]
	for name := range entry.Data {
		f.names = append(f.names, name)
	}
	slices.Sort(f.names)
	line := append(f.line[:0], `{"time":"`...)
	line = entry.Time.UTC().AppendFormat(line, time.RFC3339Nano)
	line = append(line, `","level":"`...)
	line = append(line, entry.Level.String()...)
	line = append(line, `","msg":`...)
	line = appendString(line, entry.Message)
	for _, name := range f.names {
		line = append(line, ',')
		line = appendString(line, name)
		line = append(line, ':')
		line = appendValue(line, entry.Data[name])
	}
	f.line = append(line, '}', '\n')
	return f.line, nil
}

func appendValue(line []byte, value any) []byte {
	switch value := value.(type) {
	case string:
		return appendString(line, value)
	case error:
		return appendString(line, value.Error())
	case bool:
		return strconv.AppendBool(line, value)
	case int:
		return strconv.AppendInt(line, int64(value), 10)
	case int64:
		return strconv.AppendInt(line, value, 10)
	case uint64:
		return strconv.AppendUint(line, value, 10)
	case float64:
		// Two decimal places are enough for loads and keep lines short.
		return strconv.AppendFloat(line, value, 'f', 2, 64)
	case fmt.Stringer:
		return appendString(line, value.String())
	default:
		return appendString(line, fmt.Sprint(value))
	}
}

// appendString appends a JSON string. Text without characters to escape, which is the usual case, is copied.
func appendString(line []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			quoted, err := json.Marshal(text)
			if err != nil {
				return append(line, `""`...) // strings always marshal
			}
			return append(line, quoted...)
		}
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}
