package goldentest

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
)

// elements is how many elements a filled slice or map has.
const elementCount = 2

// Fill returns a value whose fields are all distinct and not zero. The value of a field
// depends only on the order of the fields and never on a name, so that a renamed field gets
// the same one. Wherever the type of a fixed value occurs, that value is used: for types
// with invariants or without exported fields.
func Fill[T any](fixed ...any) T {
	return fillWith[T](filler{}, fixed)
}

// fillAlternating is Fill with every second boolean false, so that booleans are told apart.
func fillAlternating[T any](fixed []any) T {
	return fillWith[T](filler{alternate: true}, fixed)
}

func fillWith[T any](f filler, fixed []any) (value T) {
	f.fixed = map[reflect.Type]reflect.Value{}
	for _, x := range fixed {
		f.fixed[reflect.TypeOf(x)] = reflect.ValueOf(x)
	}
	f.fill(reflect.ValueOf(&value).Elem())
	return value
}

// filler fills one value, counting up.
type filler struct {
	next      int  // the number that the next plain value is made of
	booleans  int  // how many booleans were filled
	alternate bool // every second boolean is false
	fixed     map[reflect.Type]reflect.Value
}

var rawType = reflect.TypeFor[json.RawMessage]()

// fill sets a value and everything that it contains.
func (f *filler) fill(v reflect.Value) {
	if x, ok := f.fixed[v.Type()]; ok {
		v.Set(x)
		return
	}
	if v.Type() == rawType {
		f.next++
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.next))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if isEncoded(v.Type().Field(i)) {
				f.fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), elementCount, elementCount))
		f.fillAll(v)
	case reflect.Array:
		f.fillAll(v)
	case reflect.Map:
		f.fillMap(v)
	default:
		f.fillPlain(v)
	}
}

func (f *filler) fillAll(list reflect.Value) {
	for i := range list.Len() {
		f.fill(list.Index(i))
	}
}

func (f *filler) fillMap(v reflect.Value) {
	v.Set(reflect.MakeMap(v.Type()))
	for range elementCount {
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.SetMapIndex(key, value)
	}
}

// fillPlain sets a value of a basic type.
func (f *filler) fillPlain(v reflect.Value) {
	f.next++
	switch {
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprintf("s%d", f.next))
	case v.Kind() == reflect.Bool:
		f.booleans++
		v.SetBool(!f.alternate || f.booleans%2 == 0)
	case v.CanInt():
		v.SetInt(int64(f.next))
	case v.CanUint():
		v.SetUint(uint64(f.next))
	case v.CanFloat():
		v.SetFloat(float64(f.next) + 0.5)
	case v.Kind() == reflect.Interface && v.NumMethod() == 0:
		v.Set(reflect.ValueOf(fmt.Sprintf("s%d", f.next)))
	}
}

// carried reports whether an encoding includes a field.
func isEncoded(field reflect.StructField) bool {
	return (field.IsExported() || field.Anonymous) && field.Tag.Get("json") != "-"
}

// AllSet fails the test for each field of a value that is zero and each list that is empty.
func AllSet(t *testing.T, value any) {
	t.Helper()
	allSet(t, reflect.TypeOf(value).String(), reflect.ValueOf(value))
}

func allSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); isEncoded(field) {
				allSet(t, path+"."+field.Name, v.Field(i))
			}
		}
		return
	case reflect.Slice, reflect.Array, reflect.Map:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
		}
		if v.Kind() == reflect.Map {
			for _, key := range v.MapKeys() {
				allSet(t, fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key))
			}
			return
		}
		if v.Type() != rawType {
			for i := range v.Len() {
				allSet(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
			}
		}
		return
	case reflect.Pointer:
		if !v.IsNil() {
			allSet(t, path, v.Elem())
			return
		}
	}
	if v.IsZero() {
		t.Errorf("%s is zero", path)
	}
}
