package goldentest

import (
	"fmt"
	"reflect"
	"strings"
)

// Leaves formats the leaf values of a value, one per line, in field order and without field
// names. It is meant for types that are decoded but never encoded.
func Leaves(value any) string {
	var lines strings.Builder
	writeLeaves(&lines, "", reflect.ValueOf(value))
	return lines.String()
}

func writeLeaves(lines *strings.Builder, indent string, v reflect.Value) {
	parts := func(kind string, count int, part func(int) reflect.Value) {
		fmt.Fprintf(lines, "%s%s of %d\n", indent, kind, count)
		for i := range count {
			writeLeaves(lines, indent+"  ", part(i))
		}
	}
	switch v.Kind() {
	case reflect.Struct:
		parts("struct", v.NumField(), v.Field)
	case reflect.Slice, reflect.Array:
		parts("list", v.Len(), v.Index)
	case reflect.Pointer:
		if v.IsNil() {
			fmt.Fprintf(lines, "%snil\n", indent)
			return
		}
		writeLeaves(lines, indent, v.Elem())
	case reflect.String:
		fmt.Fprintf(lines, "%s%q\n", indent, v.String())
	default:
		fmt.Fprintf(lines, "%s%v\n", indent, v)
	}
}
