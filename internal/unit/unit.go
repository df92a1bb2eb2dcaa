// Package unit parses and formats quantities with units in settings and
// declarations.
package unit

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a span of time written as "250ms", "2s" or "24h".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\", \"2s\" or \"24h\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Bytes is an amount of memory written as "512B", "64KiB", "1MiB" or "2GiB".
type Bytes int64

type byteUnit struct {
	suffix string
	size   int64
}

// _byteUnits is ordered from the largest unit to the smallest. "B" comes last
// because it is a suffix of every other unit.
var _byteUnits = []byteUnit{
	{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1},
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bytes) UnmarshalText(text []byte) error {
	for _, u := range _byteUnits {
		digits, ok := strings.CutSuffix(string(text), u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.size {
			break
		}
		*b = Bytes(n * u.size)
		return nil
	}
	return fmt.Errorf("%q is not a size such as \"512B\", \"64KiB\", \"1MiB\" or \"2GiB\"", text)
}

// MarshalText implements encoding.TextMarshaler.
func (b Bytes) MarshalText() ([]byte, error) {
	for _, u := range _byteUnits {
		if b != 0 && int64(b)%u.size == 0 {
			return []byte(strconv.FormatInt(int64(b)/u.size, 10) + u.suffix), nil
		}
	}
	return []byte(strconv.FormatInt(int64(b), 10) + "B"), nil
}

// Cores is CPU capacity in thousandths of a core, written as "500m" or "2".
type Cores int64

const _millisPerCore = 1000

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Cores) UnmarshalText(text []byte) error {
	digits, isMilli := strings.CutSuffix(string(text), "m")
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 || n > (1<<62)/_millisPerCore {
		return fmt.Errorf("%q is not a count of cores such as \"500m\" or \"2\"", text)
	}
	if !isMilli {
		n *= _millisPerCore
	}
	*c = Cores(n)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (c Cores) MarshalText() ([]byte, error) {
	if c%_millisPerCore == 0 {
		return []byte(strconv.FormatInt(int64(c)/_millisPerCore, 10)), nil
	}
	return []byte(strconv.FormatInt(int64(c), 10) + "m"), nil
}
