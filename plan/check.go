package plan

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"reflect"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/gravitational/trace"
)

// MaxBytes bounds a plan.
const MaxBytes = 1 << 20

// Finding is one thing wrong with a plan and what to do about it.
type Finding struct {
	Path   string `json:"path"`
	Text   string `json:"text"`
	Remedy string `json:"remedy"`
}

func (f Finding) String() string {
	if f.Path == "" {
		return "the plan " + f.Text + "; " + f.Remedy
	}
	return f.Path + ": " + f.Text + "; " + f.Remedy
}

var (
	nameRE          = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	digestRE        = regexp.MustCompile(`^sha256:[0-9a-fA-F]{64}$`)
	structValidator = newValidator()
)

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return tagName(f) })
	reg := func(tag string, ok func(string) bool) {
		if err := v.RegisterValidation(tag, func(l validator.FieldLevel) bool { return ok(l.Field().String()) }); err != nil {
			panic(err)
		}
	}
	reg("name", nameRE.MatchString)
	reg("digest", digestRE.MatchString)
	reg("hostport", func(s string) bool {
		h, p, err := net.SplitHostPort(s)
		n, perr := strconv.Atoi(p)
		return err == nil && perr == nil && n > 0 && n < 65536 && net.ParseIP(h) != nil
	})
	return v
}

func tagName(f reflect.StructField) string { return strings.Split(f.Tag.Get("json"), ",")[0] }

// Parse reads a plan and lists everything that is wrong with it.
func Parse(raw []byte) (*Plan, []Finding) {
	if len(raw) > MaxBytes {
		return nil, []Finding{{"", fmt.Sprintf("has %d bytes", len(raw)), fmt.Sprintf("keep it within %d", MaxBytes)}}
	}
	tree, err := decodeTree(raw)
	if err != nil {
		return nil, []Finding{{"", "is not one JSON value: " + err.Error(), "send one JSON object"}}
	}
	var fs []Finding
	checkShape(tree, reflect.TypeOf(Plan{}), "", &fs)
	if len(fs) > 0 {
		return nil, sortFindings(fs)
	}
	var p Plan
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, []Finding{{"", err.Error(), "send values of the documented types"}}
	}
	var ve validator.ValidationErrors
	if err := structValidator.Struct(p); errors.As(err, &ve) {
		for _, e := range ve {
			fs = append(fs, Finding{strings.TrimPrefix(e.Namespace(), "Plan."), "value " + strconv.Quote(fmt.Sprint(e.Value())) + " breaks the rule " + ruleOf(e), remedyFor(e.Tag())})
		}
	} else if err != nil {
		fs = append(fs, Finding{"", err.Error(), "report this"})
	}
	return &p, sortFindings(append(fs, checkReferences(&p)...))
}

func ruleOf(e validator.FieldError) string {
	if e.Param() == "" {
		return e.Tag()
	}
	return e.Tag() + "=" + e.Param()
}

func remedyFor(tag string) string {
	switch tag {
	case "digest":
		return "name keys by digest, as `dealer digest` prints it"
	case "hostport":
		return "give an IP number and a port, such as 127.0.0.1:9000"
	case "name":
		return "use letters, digits, dot, dash and underscore, 64 at most"
	case "required":
		return "give it a value"
	default:
		return "bring it within that rule"
	}
}

// cross finds what no single field shows.
func checkReferences(p *Plan) []Finding {
	var fs []Finding
	owner := map[string]string{}
	for _, g := range sortedKeys(p.Groups) {
		for i, k := range p.Groups[g].Keys {
			k = strings.ToLower(k)
			if o, ok := owner[k]; ok {
				fs = append(fs, Finding{fmt.Sprintf("groups[%s].keys[%d]", g, i), "also a key of group " + o, "give each key to one group"})
			}
			owner[k] = g
		}
		for i, k := range p.Groups[g].Kinds {
			if _, ok := p.Kinds[k]; !ok {
				fs = append(fs, Finding{fmt.Sprintf("groups[%s].kinds[%d]", g, i), "no kind is named " + k, "add the kind or drop it here"})
			}
		}
	}
	paths := map[string]int{}
	for i, e := range p.Routes {
		if j, ok := paths[e.Path]; ok {
			fs = append(fs, Finding{fmt.Sprintf("entries[%d].path", i), fmt.Sprintf("same path as entries[%d]", j), "keep one of them"})
		}
		paths[e.Path] = i
		if strings.HasPrefix(e.Path, "/v1/") || e.Path == "/v1" || e.Path == "/" {
			fs = append(fs, Finding{fmt.Sprintf("entries[%d].path", i), "is taken by the proxy itself", "choose a path outside /v1"})
		}
	}
	return fs
}

func sortedKeys[V any](m map[string]V) []string {
	var ks []string
	for k := range m {
		ks = append(ks, k)
	}
	sort.Strings(ks)
	return ks
}

func sortFindings(fs []Finding) []Finding {
	sort.SliceStable(fs, func(i, j int) bool { return fs[i].Path < fs[j].Path })
	return fs
}

type objectMember struct {
	key   string
	value any
}

// decodeTree keeps objects as member lists, so that repeated names are seen.
func decodeTree(raw []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	v, err := decodeValue(d, 0)
	if err != nil {
		return nil, err
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, errors.New("something follows the value")
	}
	return v, nil
}

func decodeValue(d *json.Decoder, depth int) (any, error) {
	if depth > 32 {
		return nil, errors.New("nested too deep")
	}
	t, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch t {
	case json.Delim('{'):
		ms := []objectMember{}
		for d.More() {
			k, err := d.Token()
			if err != nil {
				return nil, err
			}
			v, err := decodeValue(d, depth+1)
			if err != nil {
				return nil, err
			}
			ms = append(ms, objectMember{k.(string), v})
		}
		_, err := d.Token()
		return ms, err
	case json.Delim('['):
		vs := []any{}
		for d.More() {
			v, err := decodeValue(d, depth+1)
			if err != nil {
				return nil, err
			}
			vs = append(vs, v)
		}
		_, err := d.Token()
		return vs, err
	}
	return t, nil
}

// shape finds unknown and repeated fields and values of the wrong type.
func checkShape(v any, t reflect.Type, path string, fs *[]Finding) {
	wrong := func(want string) {
		*fs = append(*fs, Finding{path, "is not " + want, "give " + want})
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		ms, ok := v.([]objectMember)
		if !ok {
			wrong("an object")
			return
		}
		seen := map[string]bool{}
		for _, m := range ms {
			p := strings.TrimPrefix(path+"."+m.key, ".")
			if seen[m.key] {
				*fs = append(*fs, Finding{p, "is given twice", "keep one"})
			}
			seen[m.key] = true
			if t.Kind() == reflect.Map {
				if path != "" {
					p = path + "[" + m.key + "]"
				}
				checkShape(m.value, t.Elem(), p, fs)
				continue
			}
			f, ok := fieldOf(t, m.key)
			if !ok {
				*fs = append(*fs, Finding{p, "is not a known field", "drop it, or check its spelling against the schema page"})
				continue
			}
			checkShape(m.value, f.Type, p, fs)
		}
	case reflect.Slice:
		vs, ok := v.([]any)
		if !ok {
			wrong("a list")
			return
		}
		for i, x := range vs {
			checkShape(x, t.Elem(), fmt.Sprintf("%s[%d]", path, i), fs)
		}
	case reflect.String:
		if _, ok := v.(string); !ok {
			wrong("a text")
		}
	case reflect.Bool:
		if _, ok := v.(bool); !ok {
			wrong("true or false")
		}
	case reflect.Int, reflect.Int64:
		n, ok := v.(json.Number)
		if _, err := strconv.ParseInt(string(n), 10, 64); !ok || err != nil {
			wrong("a whole number")
		}
	case reflect.Float64:
		n, ok := v.(json.Number)
		if _, err := strconv.ParseFloat(string(n), 64); !ok || err != nil {
			wrong("a number")
		}
	}
}

func fieldOf(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := 0; i < t.NumField(); i++ {
		if tagName(t.Field(i)) == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

// Merge applies an RFC 7396 merge patch. What the patch does not name stays as it
// was, numbers to the letter and members in their order; new members follow in
// the patch's order. (The library at hand puts them in a chance order.)
func MergePatch(base, patch []byte) ([]byte, error) {
	if len(patch) > MaxBytes {
		return nil, trace.LimitExceeded("the patch has %d bytes; keep it within %d", len(patch), MaxBytes)
	}
	t, err := decodeTree(patch)
	if err != nil {
		return nil, trace.BadParameter("the patch is not one JSON value: %v; send one JSON object", err)
	}
	if _, ok := t.([]objectMember); !ok {
		return nil, trace.BadParameter("the patch is not an object; send only the fields to change")
	}
	b, err := decodeTree(base)
	if err != nil {
		return nil, trace.BadParameter("the plan in force can't be read: %v; send a whole plan", err)
	}
	if n, ok := findDuplicate(t, ""); ok {
		return nil, trace.BadParameter("%s is given twice in the patch; keep one", n)
	}
	var out bytes.Buffer
	if err := encodeTree(&out, mergeTree(b, t)); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func findDuplicate(v any, path string) (string, bool) {
	ms, _ := v.([]objectMember)
	seen := map[string]bool{}
	for _, m := range ms {
		p := strings.TrimPrefix(path+"."+m.key, ".")
		if seen[m.key] {
			return p, true
		}
		seen[m.key] = true
		if q, ok := findDuplicate(m.value, p); ok {
			return q, true
		}
	}
	return "", false
}

func mergeTree(base, patch any) any {
	ps, ok := patch.([]objectMember)
	if !ok {
		return patch
	}
	bs, _ := base.([]objectMember)
	out := slices.Clone(bs)
	for _, m := range ps {
		i := slices.IndexFunc(out, func(x objectMember) bool { return x.key == m.key })
		switch {
		case m.value == nil && i >= 0:
			out = slices.Delete(out, i, i+1)
		case m.value == nil:
		case i >= 0:
			out[i].value = mergeTree(out[i].value, m.value)
		default:
			out = append(out, objectMember{m.key, mergeTree(nil, m.value)})
		}
	}
	if out == nil {
		out = []objectMember{}
	}
	return out
}

func encodeTree(w *bytes.Buffer, v any) error {
	switch x := v.(type) {
	case []objectMember:
		w.WriteByte('{')
		for i, m := range x {
			if i > 0 {
				w.WriteByte(',')
			}
			if err := encodeTree(w, m.key); err != nil {
				return err
			}
			w.WriteByte(':')
			if err := encodeTree(w, m.value); err != nil {
				return err
			}
		}
		w.WriteByte('}')
	case []any:
		w.WriteByte('[')
		for i, y := range x {
			if i > 0 {
				w.WriteByte(',')
			}
			if err := encodeTree(w, y); err != nil {
				return err
			}
		}
		w.WriteByte(']')
	default:
		e := json.NewEncoder(w)
		e.SetEscapeHTML(false)
		if err := e.Encode(x); err != nil {
			return err
		}
		w.Truncate(w.Len() - 1) // the encoder's line feed
	}
	return nil
}
