package world

import (
	"reflect"
	"unsafe"
)

// mapHeaderBytes is the approximate size of a map without its entries.
const mapHeaderBytes = 48

// Footprint returns the approximate size in bytes of a value and everything reachable from it.
func Footprint(v any) int {
	return footprint{}.size(reflect.ValueOf(v), false)
}

// footprint holds the addresses of memory that is already counted.
type footprint map[unsafe.Pointer]bool

// firstVisit reports whether the memory at p is not counted yet, and marks it as counted.
func (f footprint) firstVisit(p unsafe.Pointer) bool {
	if p == nil || f[p] {
		return false
	}
	f[p] = true
	return true
}

// size returns the size of the memory reachable from v, plus that of v itself unless v lies
// inside a value that is already counted.
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

// elements returns the size of the memory reachable from the elements of an array or slice.
func (f footprint) elements(v reflect.Value) int {
	size := 0
	for i := range v.Len() {
		size += f.size(v.Index(i), true)
	}
	return size
}

// entries returns the size of a map's table and of the memory reachable from its entries. It
// assumes that the table is seven eighths full and has one control byte per entry.
func (f footprint) entries(v reflect.Value) int {
	entry := int(v.Type().Key().Size()+v.Type().Elem().Size()) + 1
	size := mapHeaderBytes + v.Len()*entry*8/7
	for i := v.MapRange(); i.Next(); {
		size += f.size(i.Key(), true) + f.size(i.Value(), true)
	}
	return size
}
