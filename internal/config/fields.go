package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/go-faster/jx"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// value returns a Field that reads a value of one JSON type into to. The decode function
// returns the value, or the reason why it is invalid, or an error if the JSON is malformed.
func value[T any](r *Reader, to *T, want jx.Type, decode func() (T, string, error)) Field {
	return func(path string) {
		if !r.expect(path, want) {
			return
		}
		v, reason, err := decode()
		switch {
		case err != nil:
			r.reportMalformed(path)
		case reason != "":
			r.Errors.Add(apierror.BadField, path, reason)
		default:
			*to = v
		}
	}
}

// Int reads an integer from minimum to maximum.
func Int[T ~int | ~int64 | ~uint64](r *Reader, to *T, minimum, maximum int64) Field {
	return value(r, to, jx.Number, func() (T, string, error) {
		number, err := r.decoder.Num()
		if err != nil {
			return 0, "", err
		}
		v, err := number.Int64()
		if err != nil || v < minimum || v > maximum {
			return 0, fmt.Sprintf("want a whole number from %d to %d, got %s", minimum, maximum, number), nil
		}
		return T(v), "", nil
	})
}

// Float reads a number from minimum to maximum.
func Float(r *Reader, to *float64, minimum, maximum float64) Field {
	return value(r, to, jx.Number, func() (float64, string, error) {
		v, err := r.decoder.Float64()
		if err != nil || v < minimum || v > maximum {
			return 0, fmt.Sprintf("want a number from %v to %v", minimum, maximum), nil
		}
		return v, "", nil
	})
}

// MilliCores reads a decimal number of cores from minimum to maximum.
func MilliCores(r *Reader, to *types.MilliCores, minimum, maximum types.MilliCores) Field {
	return value(r, to, jx.Number, func() (types.MilliCores, string, error) {
		number, err := r.decoder.Num()
		if err != nil {
			return 0, "", err
		}
		v, ok := types.ParseCores(number.String())
		if !ok || v < minimum || v > maximum {
			return 0, fmt.Sprintf("want a number of cores from %v to %v with at most three decimals, got %s",
				minimum.Cores(), maximum.Cores(), number), nil
		}
		return v, "", nil
	})
}

// Text reads a string. The check returns the reason why a text is invalid, or an empty string.
func Text[T ~string](r *Reader, to *T, check func(string) string) Field {
	return value(r, to, jx.String, func() (T, string, error) {
		text, err := r.decoder.Str()
		if err != nil {
			return "", "", err
		}
		return T(text), check(text), nil
	})
}

// Bool reads true or false.
func Bool(r *Reader, to *bool) Field {
	return value(r, to, jx.Bool, func() (bool, string, error) {
		v, err := r.decoder.Bool()
		return v, "", err
	})
}

// Raw copies a value of any type without decoding it, up to a size of limit bytes.
func Raw(r *Reader, to *[]byte, limit int) Field {
	return func(path string) {
		if r.malformed {
			return
		}
		raw, err := r.decoder.Raw()
		if err != nil || !json.Valid(raw) {
			r.reportMalformed(path)
			return
		}
		if len(raw) > limit {
			r.Errors.Add(apierror.BadField, path, fmt.Sprintf("larger than %d bytes", limit))
			return
		}
		*to = slices.Clone([]byte(raw))
	}
}

// maxNameLength is the maximum length of a name in characters.
const maxNameLength = 64

// CheckName checks a name of a queue, job, step, kind or rack. Like all checks of Text, it
// returns the reason why a text is invalid, or an empty string.
func CheckName(text string) string {
	if text == "" || len(text) > maxNameLength {
		return fmt.Sprintf("want 1 to %d characters", maxNameLength)
	}
	for _, c := range text {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' {
			return "want letters, digits, '-', '_' and '.' only"
		}
	}
	return ""
}

// Optional returns a check that accepts the empty text and any text that check accepts.
func Optional(check func(string) string) func(string) string {
	return func(text string) string {
		if text == "" {
			return ""
		}
		return check(text)
	}
}

// AnyText is a check of Text that accepts every text.
func AnyText(string) string { return "" }
