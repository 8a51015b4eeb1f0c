package guavaconfig

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"

	"github.com/tailscale/hujson"

	"guavascale.example"
)

// maxShown bounds the part of a rejected value that an error repeats.
const maxShown = 120

var (
	jsonType = reflect.TypeFor[json.Unmarshaler]()
	textType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Decode reads JSON with comments into the value that into points to. Field
// names must match exactly. Unknown, repeated and mistyped fields fail with
// ValidationError, which names the field's path.
func Decode(data []byte, into any) error {
	v, err := hujson.Parse(data)
	if err != nil {
		return &guavascale.ValidationError{
			Field:   "(document)",
			Value:   shown(data),
			Allowed: "JSON, comments and trailing commas included: " + err.Error(),
		}
	}
	return decodeValue("", v.Value, reflect.ValueOf(into).Elem())
}

func decodeValue(path string, in hujson.ValueTrimmed, out reflect.Value) error {
	ptr := out.Addr().Type()
	if ptr.Implements(jsonType) || ptr.Implements(textType) {
		return decodeLiteral(path, in, out)
	}
	switch out.Kind() {
	case reflect.Pointer:
		return decodePointer(path, in, out)
	case reflect.Struct:
		return decodeStruct(path, in, out)
	case reflect.Map:
		return decodeMap(path, in, out)
	case reflect.Slice:
		return decodeSlice(path, in, out)
	default:
		return decodeLiteral(path, in, out)
	}
}

func decodePointer(path string, in hujson.ValueTrimmed, out reflect.Value) error {
	if isNull(in) {
		return nil
	}
	out.Set(reflect.New(out.Type().Elem()))
	return decodeValue(path, in, out.Elem())
}

func decodeStruct(path string, in hujson.ValueTrimmed, out reflect.Value) error {
	obj, ok := in.(*hujson.Object)
	if !ok {
		return mistyped(path, in, "an object")
	}
	seen := make(map[string]bool, len(obj.Members))
	for _, m := range obj.Members {
		name := memberName(m)
		sub := join(path, name)
		field, ok := out.Type().FieldByName(name)
		if !ok || !field.IsExported() || field.Anonymous {
			return mistyped(sub, m.Value.Value, "no field of this name")
		}
		if seen[name] {
			return mistyped(sub, m.Value.Value, "the field at most once")
		}
		seen[name] = true
		if err := decodeValue(sub, m.Value.Value, out.FieldByIndex(field.Index)); err != nil {
			return err
		}
	}
	return nil
}

func decodeMap(path string, in hujson.ValueTrimmed, out reflect.Value) error {
	if isNull(in) {
		return nil
	}
	obj, ok := in.(*hujson.Object)
	if !ok {
		return mistyped(path, in, "an object")
	}
	t := out.Type()
	out.Set(reflect.MakeMapWithSize(t, len(obj.Members)))
	for _, m := range obj.Members {
		sub := join(path, memberName(m))
		key := reflect.ValueOf(memberName(m)).Convert(t.Key())
		if out.MapIndex(key).IsValid() {
			return mistyped(sub, m.Value.Value, "the key at most once")
		}
		elem := reflect.New(t.Elem()).Elem()
		if err := decodeValue(sub, m.Value.Value, elem); err != nil {
			return err
		}
		out.SetMapIndex(key, elem)
	}
	return nil
}

func decodeSlice(path string, in hujson.ValueTrimmed, out reflect.Value) error {
	if isNull(in) {
		return nil
	}
	arr, ok := in.(*hujson.Array)
	if !ok {
		return mistyped(path, in, "an array")
	}
	out.Set(reflect.MakeSlice(out.Type(), len(arr.Elements), len(arr.Elements)))
	for i, e := range arr.Elements {
		if err := decodeValue(path+"["+strconv.Itoa(i)+"]", e.Value, out.Index(i)); err != nil {
			return err
		}
	}
	return nil
}

func decodeLiteral(path string, in hujson.ValueTrimmed, out reflect.Value) error {
	want := fmt.Sprintf("a %s", out.Kind())
	lit, ok := in.(hujson.Literal)
	if !ok || isNull(in) {
		return mistyped(path, in, want)
	}
	if err := json.Unmarshal(lit, out.Addr().Interface()); err != nil {
		return mistyped(path, in, want)
	}
	return nil
}

func isNull(in hujson.ValueTrimmed) bool {
	lit, ok := in.(hujson.Literal)
	return ok && lit.Kind() == 'n'
}

func memberName(m hujson.ObjectMember) string {
	lit, _ := m.Name.Value.(hujson.Literal)
	return lit.String()
}

func mistyped(path string, in hujson.ValueTrimmed, allowed string) error {
	v := hujson.Value{Value: in}
	v = v.Clone()
	v.Minimize()
	text := shown(v.Pack())
	if secretPath(path) {
		text = redacted
	}
	if path == "" {
		path = "(document)"
	}
	return &guavascale.ValidationError{Field: path, Value: text, Allowed: allowed}
}

func shown(data []byte) string {
	if len(data) > maxShown {
		return strconv.Quote(string(data[:maxShown])) + "..."
	}
	return string(data)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
