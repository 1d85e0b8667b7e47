package explorer

import (
	"hash/maphash"
	"math"
	"reflect"
	"time"
)

// Digester hashes values with all that is reachable from them, unexported fields included.
// Functions and channels are left out: a system under exploration must keep no state in them.
type Digester struct {
	ignored map[reflect.Type]bool
	seed    maphash.Seed
}

// NewDigester returns a digester that leaves out values of the given types, on which nothing
// depends.
func NewDigester(ignored ...reflect.Type) *Digester {
	d := &Digester{ignored: make(map[reflect.Type]bool), seed: maphash.MakeSeed()}
	for _, t := range ignored {
		d.ignored[t] = true
	}
	return d
}

// Sum returns the hash of values. Equal values have equal hashes at one digester only.
func (d *Digester) Sum(values ...any) uint64 {
	w := &digestWalk{digester: d, open: make(map[visit]bool)}
	for _, v := range values {
		w.add(reflect.ValueOf(v))
	}
	return w.sum
}

// visit identifies a pointer that a walk met.
type visit struct {
	address uintptr
	kind    reflect.Type
}

// digestWalk is the walk through one value.
type digestWalk struct {
	digester *Digester
	// open holds the pointers that are being followed, so that a cycle ends. Shared ones are
	// followed each time, because entries of maps come in any order.
	open map[visit]bool
	sum  uint64
}

// Multipliers that mix the bits of a hash.
const (
	mixFirst  = 0x9e3779b97f4a7c15
	mixSecond = 0xbf58476d1ce4e5b9
)

func (w *digestWalk) mix(n uint64) {
	x := (w.sum ^ n) * mixFirst
	x ^= x >> 29
	w.sum = (x + n) * mixSecond
	w.sum ^= w.sum >> 32
}

var timeType = reflect.TypeFor[time.Time]()

func (w *digestWalk) add(v reflect.Value) {
	if !v.IsValid() {
		w.mix(1)
		return
	}
	if w.digester.ignored[v.Type()] {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		w.addPointer(v)
	case reflect.Interface:
		w.addInterface(v)
	case reflect.Struct:
		w.addStruct(v)
	case reflect.Slice, reflect.Array:
		w.mix(uint64(v.Len()))
		for i := range v.Len() {
			w.add(v.Index(i))
		}
	case reflect.Map:
		w.addMap(v)
	case reflect.String:
		w.mix(maphash.String(w.digester.seed, v.String()))
	default:
		w.addScalar(v)
	}
}

func (w *digestWalk) addScalar(v reflect.Value) {
	switch {
	case v.CanInt():
		w.mix(uint64(v.Int()))
	case v.CanUint():
		w.mix(v.Uint())
	case v.CanFloat():
		w.mix(math.Float64bits(v.Float()))
	case v.Kind() == reflect.Bool && v.Bool():
		w.mix(2)
	case v.Kind() == reflect.Bool:
		w.mix(3)
	}
}

func (w *digestWalk) addPointer(v reflect.Value) {
	if v.IsNil() {
		w.mix(4)
		return
	}
	key := visit{v.Pointer(), v.Type()}
	if w.open[key] {
		w.mix(6)
		return
	}
	w.open[key] = true
	w.add(v.Elem())
	delete(w.open, key)
}

func (w *digestWalk) addInterface(v reflect.Value) {
	if v.IsNil() {
		w.mix(5)
		return
	}
	w.mix(maphash.String(w.digester.seed, v.Elem().Type().String()))
	w.add(v.Elem())
}

// addStruct adds the fields of a struct. Of a time only the instant counts.
func (w *digestWalk) addStruct(v reflect.Value) {
	n := v.NumField()
	if v.Type() == timeType {
		n = 2
	}
	for i := range n {
		w.add(v.Field(i))
	}
}

// addMap adds the entries of a map in any order.
func (w *digestWalk) addMap(v reflect.Value) {
	before, total := w.sum, uint64(0)
	for entries := v.MapRange(); entries.Next(); {
		w.sum = before
		w.add(entries.Key())
		w.add(entries.Value())
		total += w.sum
	}
	w.sum = before
	w.mix(uint64(v.Len()))
	w.mix(total)
}
