package plan

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// checkShape finds all unknown and repeated fields and all values of the wrong JSON type. The
// JSON decoder reports only the first wrong type, and accepts repeated and unknown fields.
func checkShape(value any, want reflect.Type, path string, findings *[]Finding) {
	switch want.Kind() {
	case reflect.Struct, reflect.Map:
		checkObject(value, want, path, findings)
	case reflect.Slice:
		checkArray(value, want, path, findings)
	default:
		if name, ok := checkScalar(value, want.Kind()); !ok {
			*findings = append(*findings, wrongType(path, name))
		}
	}
}

func wrongType(path, want string) Finding {
	return Finding{Path: path, Text: "is not " + want, Remedy: "give " + want}
}

func checkObject(value any, want reflect.Type, path string, findings *[]Finding) {
	members, isObject := value.([]objectMember)
	if !isObject {
		*findings = append(*findings, wrongType(path, "an object"))
		return
	}
	seen := map[string]bool{}
	for _, member := range members {
		at := memberPath(path, member.key)
		if seen[member.key] {
			*findings = append(*findings, Finding{Path: at, Text: "is given twice", Remedy: "keep one"})
		}
		seen[member.key] = true
		if want.Kind() == reflect.Map {
			if path != "" {
				at = path + "[" + member.key + "]"
			}
			checkShape(member.value, want.Elem(), at, findings)
			continue
		}
		field, known := fieldByJSONName(want, member.key)
		if !known {
			*findings = append(*findings, Finding{Path: at, Text: "is not a known field", Remedy: "drop it, or check its spelling against the schema page"})
			continue
		}
		checkShape(member.value, field.Type, at, findings)
	}
}

func checkArray(value any, want reflect.Type, path string, findings *[]Finding) {
	values, isArray := value.([]any)
	if !isArray {
		*findings = append(*findings, wrongType(path, "a list"))
		return
	}
	for i, element := range values {
		checkShape(element, want.Elem(), fmt.Sprintf("%s[%d]", path, i), findings)
	}
}

// checkScalar reports whether a value has a kind, and returns the name of the kind for
// findings. Kinds that plans don't use are not checked.
func checkScalar(value any, want reflect.Kind) (name string, ok bool) {
	switch want {
	case reflect.String:
		_, ok = value.(string)
		return "a text", ok
	case reflect.Bool:
		_, ok = value.(bool)
		return "true or false", ok
	case reflect.Int, reflect.Int64:
		number, isNumber := value.(json.Number)
		_, err := strconv.ParseInt(string(number), 10, 64)
		return "a whole number", isNumber && err == nil
	case reflect.Float64:
		number, isNumber := value.(json.Number)
		_, err := strconv.ParseFloat(string(number), 64)
		return "a number", isNumber && err == nil
	}
	return "", true
}

func fieldByJSONName(of reflect.Type, name string) (reflect.StructField, bool) {
	for i := range of.NumField() {
		if jsonName(of.Field(i)) == name {
			return of.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

// jsonName is the name of a field in JSON.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}
