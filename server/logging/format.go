package logging

import (
	"fmt"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// Formatter formats an event as one line of key=value pairs: the time, the level and the
// message, followed by the fields in the order of their keys and the Pairs. It formats like
// logrus.TextFormatter but needs only a fraction of its CPU time.
type Formatter struct{}

// Format returns the line of an event, including the line break.
func (Formatter) Format(e *logrus.Entry) ([]byte, error) {
	line := make([]byte, 0, 512)
	line = append(line, "time="...)
	line = e.Time.UTC().AppendFormat(line, time.RFC3339Nano)
	line = append(line, " level="...)
	line = append(line, e.Level.String()...)
	line = append(line, " msg="...)
	line = appendText(line, e.Message)
	line = appendFields(line, e.Data)
	return append(line, '\n'), nil
}

// appendValue appends the text of a value to a line.
func appendValue(line []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendText(line, v)
	case int:
		return strconv.AppendInt(line, int64(v), 10)
	case int64:
		return strconv.AppendInt(line, v, 10)
	case uint64:
		return strconv.AppendUint(line, v, 10)
	case float64:
		return strconv.AppendFloat(line, v, 'g', -1, 64)
	case bool:
		return strconv.AppendBool(line, v)
	case error:
		return appendText(line, v.Error())
	}
	return appendText(line, fmt.Sprint(value))
}

// appendText appends a text to a line. It quotes texts that contain blanks, quotation
// marks, equals signs, control characters or non-ASCII characters.
func appendText(line []byte, text string) []byte {
	for i := 0; i < len(text); i++ {
		if c := text[i]; c <= ' ' || c == '"' || c == '=' || c >= 0x7f {
			return strconv.AppendQuote(line, text)
		}
	}
	return append(line, text...)
}
