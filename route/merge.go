package route

import (
	"encoding/json"
	"fmt"

	"github.com/samber/lo"
)

// FieldNames are the field names of the operator's configuration format that Merge needs.
type FieldNames struct {
	Name    string // of an item in a list
	Version string // of the configuration
	Upsert  string // of the items to add or replace, in a patch
	Remove  string // of the names of items to remove, in a patch
}

// Merge applies a patch to the text of a configuration; an empty base is an empty
// configuration. Items are first removed by name, ignoring unknown names; then items are
// replaced as a whole in place, or appended. In a section that is an object, single fields are
// replaced.
func Merge(base, patch []byte, names FieldNames) ([]byte, []Finding) {
	if len(base) == 0 {
		base = []byte("{}")
	}
	merged, err := topLevelMembers(base)
	if err != nil {
		return nil, []Finding{unreadable("", err)}
	}
	patchMembers, err := topLevelMembers(patch)
	if err != nil {
		return nil, []Finding{unreadable("", err)}
	}
	var findings []Finding
	if version := memberValue(patchMembers, names.Version); version == nil {
		findings = append(findings, Finding{names.Version, "no-version", "give the version that results from the patch"})
	} else {
		merged = setMember(merged, names.Version, version)
	}
	for _, operation := range []string{names.Remove, names.Upsert} {
		changes, err := objectMembers(lo.CoalesceSliceOrEmpty(memberValue(patchMembers, operation), []byte("{}")))
		if err != nil {
			findings = append(findings, unreadable(operation, err))
			continue
		}
		var found []Finding
		merged, found = mergeChanges(merged, changes, operation, names)
		findings = append(findings, found...)
	}
	return encodeObject(merged), findings
}

// mergeChanges applies the changes of one operation to the sections that they name.
func mergeChanges(merged, changes []member, operation string, names FieldNames) ([]member, []Finding) {
	var findings []Finding
	for _, change := range changes {
		if memberValue(changes, change.name) == nil {
			continue
		}
		section := memberValue(merged, change.name)
		var value json.RawMessage
		var finding *Finding
		switch {
		case operation == names.Remove:
			value, finding = removeItems(section, change.value, names.Name)
		case change.value[0] == '[':
			value, finding = upsertItems(section, change.value, names.Name)
		case change.value[0] == '{':
			value, finding = replaceFields(section, change.value)
		default:
			finding = &Finding{"", "unmergeable", "upsert a list of items or an object"}
		}
		if finding != nil {
			finding.Path = operation + "." + change.name + finding.Path
			findings = append(findings, *finding)
		} else if value != nil {
			merged = setMember(merged, change.name, value)
		}
	}
	return merged, findings
}

// namedItems splits a list into its items and returns the name of each, "" if it has none.
func namedItems(list json.RawMessage, nameField string) (items []json.RawMessage, names []string, f *Finding) {
	if list == nil {
		return nil, nil, nil
	}
	if list[0] != '[' {
		return nil, nil, &Finding{"", "not-a-list", "use the name of a section that is a list of items"}
	}
	splitJSON(list, func(_, item []byte) { items = append(items, item) })
	names = make([]string, 0, len(items))
	for i, item := range items {
		ms, err := objectMembers(item)
		var name string
		if err == nil {
			name, err = unquote(lo.CoalesceSliceOrEmpty(memberValue(ms, nameField), []byte(`""`)))
		}
		if err != nil {
			return nil, nil, &Finding{fmt.Sprintf("[%d]", i), "unreadable", err.Error()}
		}
		names = append(names, name)
	}
	return items, names, nil
}

// removeItems returns a list without the items of these names; nil if there is no list.
func removeItems(list, names json.RawMessage, nameField string) (json.RawMessage, *Finding) {
	var remove []string
	if err := json.Unmarshal(names, &remove); err != nil {
		return nil, &Finding{"", "unreadable", "list the names to remove"}
	}
	items, present, f := namedItems(list, nameField)
	if f != nil || list == nil {
		return nil, f
	}
	removed := lo.Keyify(remove)
	return encodeList(lo.Filter(items, func(_ json.RawMessage, i int) bool { return !lo.HasKey(removed, present[i]) })), nil
}

// upsertItems returns a list in which each of these items replaces the one of the same name, or
// is appended.
func upsertItems(list, upsert json.RawMessage, nameField string) (json.RawMessage, *Finding) {
	items, present, f := namedItems(list, nameField)
	if f != nil {
		return nil, f
	}
	changed, names, f := namedItems(upsert, nameField)
	if f != nil {
		return nil, f
	}
	indexes := map[string]int{}
	for i, name := range present {
		indexes[name] = i
	}
	for i, name := range names {
		if name == "" {
			return nil, &Finding{fmt.Sprintf("[%d]", i), "no-name", "name the item to add or to replace"}
		}
		if index, ok := indexes[name]; ok {
			items[index] = changed[i]
		} else {
			indexes[name] = len(items)
			items = append(items, changed[i])
		}
	}
	return encodeList(items), nil
}

// replaceFields returns an object in which each of these fields replaces the one of the same
// name, or is appended.
func replaceFields(object, fields json.RawMessage) (json.RawMessage, *Finding) {
	merged, err := objectMembers(lo.CoalesceSliceOrEmpty(object, []byte("{}")))
	if err != nil {
		return nil, &Finding{"", "not-an-object", "use the name of a section that is an object"}
	}
	replaced, err := objectMembers(fields)
	if err != nil {
		return nil, &Finding{"", "unreadable", err.Error()}
	}
	for _, field := range replaced {
		merged = setMember(merged, field.name, field.value)
	}
	return encodeObject(merged), nil
}
