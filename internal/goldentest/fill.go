package goldentest

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
)

// elements is how many elements a filled slice or map has.
const elements = 2

// Fill returns a value of a type whose every field is distinct and not zero. What it
// puts into a field follows from the order of the fields alone and never from a name,
// so that renamed fields hold the same. A value among the fixed ones stands wherever
// its type occurs: for types that keep rules or have no field to be set from outside.
func Fill[T any](fixed ...any) T {
	return fillWith[T](filler{}, fixed)
}

// fillTurns is Fill with every second flag false, so that flags are told apart.
func fillTurns[T any](fixed []any) T {
	return fillWith[T](filler{turns: true}, fixed)
}

func fillWith[T any](f filler, fixed []any) (value T) {
	f.fixed = map[reflect.Type]reflect.Value{}
	for _, x := range fixed {
		f.fixed[reflect.TypeOf(x)] = reflect.ValueOf(x)
	}
	f.fill(reflect.ValueOf(&value).Elem())
	return value
}

// filler counts up through one value.
type filler struct {
	next  int
	flags int  // how many flags there were
	turns bool // every second flag is false
	fixed map[reflect.Type]reflect.Value
}

var rawType = reflect.TypeFor[json.RawMessage]()

// fill sets a value and all that is in it.
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
			if carried(v.Type().Field(i)) {
				f.fill(v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), elements, elements))
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
	for range elements {
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.SetMapIndex(key, value)
	}
}

// fillPlain sets a value that has no parts.
func (f *filler) fillPlain(v reflect.Value) {
	f.next++
	switch {
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprintf("s%d", f.next))
	case v.Kind() == reflect.Bool:
		f.flags++
		v.SetBool(!f.turns || f.flags%2 == 0)
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

// carried tells whether a field is one that an encoding carries.
func carried(field reflect.StructField) bool {
	return (field.IsExported() || field.Anonymous) && field.Tag.Get("json") != "-"
}

// AllSet fails the test for each field of a value that is zero, and for each empty list.
func AllSet(t *testing.T, value any) {
	t.Helper()
	allSet(t, reflect.TypeOf(value).String(), reflect.ValueOf(value))
}

func allSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); carried(field) {
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
