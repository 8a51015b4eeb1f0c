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

// maxErrorValueBytes is how much of a rejected value an error message includes.
const maxErrorValueBytes = 120

var (
	jsonUnmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Decode parses JSON with comments and trailing commas into the value that into
// points to. Field names are case-sensitive. Unknown fields, duplicate fields
// and values of the wrong type fail with ValidationError, which contains the
// path of the field.
func Decode(data []byte, into any) error {
	v, err := hujson.Parse(data)
	if err != nil {
		return &guavascale.ValidationError{
			Field:   "(document)",
			Value:   truncated(data),
			Allowed: "JSON, comments and trailing commas included: " + err.Error(),
		}
	}
	return decodeValue("", v.Value, reflect.ValueOf(into).Elem())
}

func decodeValue(path string, in hujson.ValueTrimmed, out reflect.Value) error {
	ptr := out.Addr().Type()
	if ptr.Implements(jsonUnmarshalerType) || ptr.Implements(textUnmarshalerType) {
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
		return decodeError(path, in, "an object")
	}
	seen := make(map[string]bool, len(obj.Members))
	for _, m := range obj.Members {
		name := memberName(m)
		sub := joinPath(path, name)
		field, ok := out.Type().FieldByName(name)
		if !ok || !field.IsExported() || field.Anonymous {
			return decodeError(sub, m.Value.Value, "no field of this name")
		}
		if seen[name] {
			return decodeError(sub, m.Value.Value, "the field at most once")
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
		return decodeError(path, in, "an object")
	}
	t := out.Type()
	out.Set(reflect.MakeMapWithSize(t, len(obj.Members)))
	for _, m := range obj.Members {
		sub := joinPath(path, memberName(m))
		key := reflect.ValueOf(memberName(m)).Convert(t.Key())
		if out.MapIndex(key).IsValid() {
			return decodeError(sub, m.Value.Value, "the key at most once")
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
		return decodeError(path, in, "an array")
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
		return decodeError(path, in, want)
	}
	if err := json.Unmarshal(lit, out.Addr().Interface()); err != nil {
		return decodeError(path, in, want)
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

// decodeError returns a ValidationError for the value at path. It redacts
// values that may hold a secret.
func decodeError(path string, in hujson.ValueTrimmed, allowed string) error {
	v := hujson.Value{Value: in}
	v = v.Clone()
	v.Minimize()
	text := truncated(v.Pack())
	if mayHoldSecret(path) {
		text = redacted
	}
	if path == "" {
		path = "(document)"
	}
	return &guavascale.ValidationError{Field: path, Value: text, Allowed: allowed}
}

// truncated quotes and shortens data that exceeds maxErrorValueBytes.
func truncated(data []byte) string {
	if len(data) > maxErrorValueBytes {
		return strconv.Quote(string(data[:maxErrorValueBytes])) + "..."
	}
	return string(data)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
