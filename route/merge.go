package route

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/samber/lo"
)

// Words are the field names of an operator's text by which items are merged.
type FieldNames struct{ Name, Version, Upsert, Remove string }

// member is a part of a JSON object. Values stay text: numbers are never read.
type member struct {
	name  string
	value json.RawMessage
}

// parts splits an object or a list that is known to be valid JSON, and hands on
// each part's name, if it has one, and its value.
func splitJSON(v []byte, on func(name, value []byte)) {
	depth, from := 0, -1
	var name []byte
	for i := 0; i < len(v); i++ {
		switch c := v[i]; c {
		case ' ', '\t', '\n', '\r':
			continue
		case '{', '[':
			if depth++; depth == 1 {
				continue
			}
		case ':':
			if depth == 1 {
				name, from = bytes.TrimRight(v[from:i], " \t\n\r"), -1
				continue
			}
		case ',', '}', ']':
			if c != ',' {
				depth--
			}
			if (depth == 0 || depth == 1 && c == ',') && from >= 0 {
				on(name, bytes.TrimRight(v[from:i], " \t\n\r"))
				name, from = nil, -1
			}
			if depth == 0 || depth == 1 && c == ',' {
				continue
			}
		}
		if from < 0 {
			from = i
		}
		if v[i] == '"' {
			for i++; v[i] != '"'; i++ {
				if v[i] == '\\' {
					i++
				}
			}
		}
	}
}

// plainText is what a JSON text says.
func unquote(v []byte) (s string, err error) {
	if n := len(v) - 1; n > 0 && v[0] == '"' && bytes.IndexByte(v, '\\') < 0 {
		return string(v[1:n]), nil
	}
	err = json.Unmarshal(v, &s)
	return s, err
}

// members lists the parts of the one JSON object that text is, in order.
func topLevelMembers(text []byte) ([]member, error) {
	if !json.Valid(text) {
		var v json.RawMessage
		return nil, json.Unmarshal(text, &v) // says what is wrong, and where
	}
	return objectMembers(text)
}

// valid is members of what is known to be valid JSON.
func objectMembers(text []byte) (ms []member, err error) {
	if t := bytes.TrimLeft(text, " \t\n\r"); t[0] != '{' {
		return nil, trace.BadParameter("send one JSON object")
	}
	var seen map[string]bool // made once there are too many to look through
	splitJSON(text, func(n, v []byte) {
		s, e := unquote(n)
		if len(ms) == 32 {
			seen = lo.SliceToMap(ms, func(m member) (string, bool) { return m.name, true })
		}
		if seen[s] || seen == nil && lo.ContainsBy(ms, func(m member) bool { return m.name == s }) {
			e = trace.BadParameter("send %q once", s)
		}
		if seen != nil {
			seen[s] = true
		}
		err = lo.CoalesceOrEmpty(err, e)
		ms = append(ms, member{s, v})
	})
	return ms, err
}

func unreadable(path string, err error) Finding {
	return Finding{path, "unreadable", err.Error() + "; send one whole JSON object"}
}

// text writes an object's parts.
func encodeObject(ms []member) []byte {
	var b bytes.Buffer
	for i, m := range ms {
		b.WriteByte(lo.Ternary[byte](i == 0, '{', ','))
		b.Write(lo.Must(json.Marshal(m.name)))
		b.WriteByte(':')
		b.Write(m.value)
	}
	if len(ms) == 0 {
		b.WriteByte('{')
	}
	b.WriteByte('}')
	return b.Bytes()
}

func setMember(ms []member, name string, value json.RawMessage) []member {
	for i := range ms {
		if ms[i].name == name {
			ms[i].value = value
			return ms
		}
	}
	return append(ms, member{name, value})
}

func memberValue(ms []member, name string) json.RawMessage {
	for _, m := range ms {
		if m.name == name && string(m.value) != "null" {
			return m.value
		}
	}
	return nil
}

// Merge applies a patch to a configuration's text, none being an empty one. Items
// are first removed by name, unknown names being no mistake, then replaced whole
// where they stand, or added at the end. Of an object, the fields are replaced.
func Merge(base, patch []byte, names FieldNames) ([]byte, []Finding) {
	if len(base) == 0 {
		base = []byte("{}")
	}
	ms, err := topLevelMembers(base)
	if err != nil {
		return nil, []Finding{unreadable("", err)}
	}
	ps, err := topLevelMembers(patch)
	if err != nil {
		return nil, []Finding{unreadable("", err)}
	}
	var fs []Finding
	if v := memberValue(ps, names.Version); v == nil {
		fs = append(fs, Finding{names.Version, "no-version", "give the version that the patch leads to"})
	} else {
		ms = setMember(ms, names.Version, v)
	}
	for _, op := range []string{names.Remove, names.Upsert} {
		changes, err := objectMembers(lo.CoalesceSliceOrEmpty(memberValue(ps, op), []byte("{}")))
		if err != nil {
			fs = append(fs, unreadable(op, err))
			continue
		}
		for _, p := range changes {
			if memberValue(changes, p.name) == nil {
				continue
			}
			was := memberValue(ms, p.name)
			var v json.RawMessage
			var f *Finding
			switch {
			case op == names.Remove:
				v, f = removeItems(was, p.value, names.Name)
			case p.value[0] == '[':
				v, f = upsertItems(was, p.value, names.Name)
			case p.value[0] == '{':
				v, f = replaceFields(was, p.value)
			default:
				f = &Finding{"", "unmergeable", "upsert lists of items, or objects"}
			}
			if f != nil {
				f.Path = op + "." + p.name + f.Path
				fs = append(fs, *f)
			} else if v != nil {
				ms = setMember(ms, p.name, v)
			}
		}
	}
	return encodeObject(ms), fs
}

// list reads a list of items and the place of each name.
func namedItems(v json.RawMessage, word string) (items []json.RawMessage, names []string, f *Finding) {
	if v == nil {
		return nil, nil, nil
	}
	if v[0] != '[' {
		return nil, nil, &Finding{"", "not-a-list", "name a part that is a list of items"}
	}
	splitJSON(v, func(_, x []byte) { items = append(items, x) })
	names = make([]string, 0, len(items))
	for i, x := range items {
		ms, err := objectMembers(x)
		var n string
		if err == nil {
			n, err = unquote(lo.CoalesceSliceOrEmpty(memberValue(ms, word), []byte(`""`)))
		}
		if err != nil {
			return nil, nil, &Finding{fmt.Sprintf("[%d]", i), "unreadable", err.Error()}
		}
		names = append(names, n)
	}
	return items, names, nil
}

func encodeList(items []json.RawMessage) json.RawMessage {
	bs := lo.Map(items, func(x json.RawMessage, _ int) []byte { return x })
	return append(append([]byte{'['}, bytes.Join(bs, []byte{','})...), ']')
}

func removeItems(was, names json.RawMessage, word string) (json.RawMessage, *Finding) {
	var gone []string
	if err := json.Unmarshal(names, &gone); err != nil {
		return nil, &Finding{"", "unreadable", "list the names to remove"}
	}
	items, have, f := namedItems(was, word)
	if f != nil || was == nil {
		return nil, f
	}
	out := lo.Keyify(gone)
	return encodeList(lo.Filter(items, func(_ json.RawMessage, i int) bool { return !lo.HasKey(out, have[i]) })), nil
}

func upsertItems(was, items json.RawMessage, word string) (json.RawMessage, *Finding) {
	old, have, f := namedItems(was, word)
	if f != nil {
		return nil, f
	}
	now, names, f := namedItems(items, word)
	if f != nil {
		return nil, f
	}
	at := map[string]int{}
	for i, n := range have {
		at[n] = i
	}
	for i, n := range names {
		if n == "" {
			return nil, &Finding{fmt.Sprintf("[%d]", i), "no-name", "name the item to add or to replace"}
		}
		if j, ok := at[n]; ok {
			old[j] = now[i]
		} else {
			at[n] = len(old)
			old = append(old, now[i])
		}
	}
	return encodeList(old), nil
}

func replaceFields(was, fields json.RawMessage) (json.RawMessage, *Finding) {
	ms, err := objectMembers(lo.CoalesceSliceOrEmpty(was, []byte("{}")))
	if err != nil {
		return nil, &Finding{"", "not-an-object", "name a part that is an object"}
	}
	ns, err := objectMembers(fields)
	if err != nil {
		return nil, &Finding{"", "unreadable", err.Error()}
	}
	for _, n := range ns {
		ms = setMember(ms, n.name, n.value)
	}
	return encodeObject(ms), nil
}
