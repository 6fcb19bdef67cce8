package logging

import (
	"slices"
	"strconv"
)

// Pairs is the text of several key=value pairs. It is a cheaper alternative to logrus.Fields
// for events that occur for each request: Formatter writes it as it is, after the other
// fields and without the key of its own field.
type Pairs []byte

// String returns the pairs as text.
func (p Pairs) String() string { return string(p) }

// Text adds a text.
func (p Pairs) Text(key, value string) Pairs { return appendText(p.key(key), value) }

// Int adds an integer.
func (p Pairs) Int(key string, value int64) Pairs { return strconv.AppendInt(p.key(key), value, 10) }

// Float adds a floating-point number.
func (p Pairs) Float(key string, value float64) Pairs {
	return strconv.AppendFloat(p.key(key), value, 'g', -1, 64)
}

// Bool adds a truth value.
func (p Pairs) Bool(key string, value bool) Pairs { return strconv.AppendBool(p.key(key), value) }

func (p Pairs) key(key string) Pairs {
	if p == nil {
		p = make(Pairs, 0, 512)
	}
	if len(p) > 0 {
		p = append(p, ' ')
	}
	return append(append(p, key...), '=')
}

// appendFields appends the fields of an event in the order of their keys, and then its pairs.
func appendFields(line []byte, data map[string]any) []byte {
	keys := make([]string, 0, 16)
	for key := range data {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	var pairs Pairs
	for _, key := range keys {
		if p, ok := data[key].(Pairs); ok {
			pairs = p
			continue
		}
		line = append(line, ' ')
		line = append(line, key...)
		line = append(line, '=')
		line = appendValue(line, data[key])
	}
	if len(pairs) > 0 {
		line = append(append(line, ' '), pairs...)
	}
	return line
}
