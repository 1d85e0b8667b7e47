package asserter

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// maxDepth bounds the depth to which fill follows recursive types.
const maxDepth = 8

// Keys checks the keys of encoded documents against the golden file at path. It
// encodes one value of each document's type with every exported field set, and
// decodes it into untyped values to collect the keys. The check is needed because
// a receiver drops a renamed field without an error.
func Keys(t testing.TB, path string, documents map[string]any, marshal func(any) ([]byte, error), unmarshal func([]byte, any) error) {
	t.Helper()
	var lines []string
	for name, document := range documents {
		filled := reflect.New(reflect.TypeOf(document))
		fill(filled.Elem(), 0)
		data, err := marshal(filled.Interface())
		NoError(t, name+": encode", err)
		var decoded any
		NoError(t, name+": decode", unmarshal(data, &decoded))
		lines = append(lines, keys(name, decoded)...)
	}
	slices.Sort(lines)
	got := strings.Join(slices.Compact(lines), "\n") + "\n"
	want, err := os.ReadFile(path)
	NoError(t, "read golden file", err)
	if got != string(want) {
		t.Errorf("%s: got keys\n%swant\n%s", path, got, want)
	}
}

// fill sets v and every exported field below it to a non-zero value.
func fill(v reflect.Value, depth int) {
	if depth > maxDepth || !v.CanSet() {
		return
	}
	switch {
	case v.Type() == reflect.TypeFor[time.Time]():
		v.Set(reflect.ValueOf(time.Unix(1, 0).UTC()))
		return
	case v.Type() == reflect.TypeFor[json.RawMessage]():
		v.Set(reflect.ValueOf(json.RawMessage("1")))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), depth+1)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), depth+1)
		}
	case reflect.Map:
		fillMap(v, depth)
	default:
		fillScalar(v)
	}
}

// fillMap sets v to a map with one entry.
func fillMap(v reflect.Value, depth int) {
	key := reflect.New(v.Type().Key()).Elem()
	value := reflect.New(v.Type().Elem()).Elem()
	fill(key, depth+1)
	fill(value, depth+1)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

// fillScalar sets v to a non-zero value if it is a boolean, a text or a number.
func fillScalar(v reflect.Value) {
	switch {
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.Kind() == reflect.String:
		v.SetString("x")
	case v.CanInt():
		v.SetInt(1)
	case v.CanUint():
		v.SetUint(1)
	case v.CanFloat():
		v.SetFloat(1)
	}
}

// keys returns the paths of all keys below a decoded value. The path of a list
// includes its length, which is the number of fields of a struct encoded as an array.
func keys(path string, decoded any) []string {
	v := reflect.ValueOf(decoded)
	switch v.Kind() {
	case reflect.Map:
		var lines []string
		for _, k := range v.MapKeys() {
			child := path + "." + fmt.Sprint(k.Interface())
			lines = append(lines, keys(child, v.MapIndex(k).Interface())...)
		}
		return lines
	case reflect.Slice:
		if v.Type().Elem().Kind() != reflect.Interface {
			return []string{path}
		}
		var lines []string
		for i := range v.Len() {
			lines = append(lines, keys(fmt.Sprintf("%s[%d]", path, v.Len()), v.Index(i).Interface())...)
		}
		return lines
	}
	return []string{path}
}
