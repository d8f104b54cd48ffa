package world

import (
	"reflect"
	"unsafe"
)

// mapHeaderBytes is what a map takes beside its entries, roughly.
const mapHeaderBytes = 48

// Footprint returns about how many bytes a value takes with all that it points to.
func Footprint(v any) int {
	return footprint{}.size(reflect.ValueOf(v), false)
}

// footprint holds what is counted already.
type footprint map[unsafe.Pointer]bool

// firstVisit reports whether what p points to is not counted yet, and notes that it is.
func (f footprint) firstVisit(p unsafe.Pointer) bool {
	if p == nil || f[p] {
		return false
	}
	f[p] = true
	return true
}

// size returns the size of what v points to, and of v itself unless it lies inside a
// value that is counted.
func (f footprint) size(v reflect.Value, inside bool) int {
	if !v.IsValid() {
		return 0
	}
	size := 0
	if !inside {
		size = int(v.Type().Size())
	}
	switch v.Kind() {
	case reflect.String:
		if s := v.String(); f.firstVisit(unsafe.Pointer(unsafe.StringData(s))) {
			size += len(s)
		}
	case reflect.Pointer:
		if f.firstVisit(v.UnsafePointer()) {
			size += f.size(v.Elem(), false)
		}
	case reflect.Interface:
		size += f.size(v.Elem(), false)
	case reflect.Slice:
		if v.Len() > 0 && f.firstVisit(v.UnsafePointer()) {
			size += v.Cap()*int(v.Type().Elem().Size()) + f.elements(v)
		}
	case reflect.Array:
		size += f.elements(v)
	case reflect.Struct:
		for i := range v.NumField() {
			size += f.size(v.Field(i), true)
		}
	case reflect.Map:
		if f.firstVisit(v.UnsafePointer()) {
			size += f.entries(v)
		}
	}
	return size
}

// elements returns the size of what the elements of an array or slice point to.
func (f footprint) elements(v reflect.Value) int {
	size := 0
	for i := range v.Len() {
		size += f.size(v.Index(i), true)
	}
	return size
}

// entries returns the size of a map's table and of what its entries point to. The table
// is about seven eighths full and has a byte more for each entry.
func (f footprint) entries(v reflect.Value) int {
	entry := int(v.Type().Key().Size()+v.Type().Elem().Size()) + 1
	size := mapHeaderBytes + v.Len()*entry*8/7
	for i := v.MapRange(); i.Next(); {
		size += f.size(i.Key(), true) + f.size(i.Value(), true)
	}
	return size
}
