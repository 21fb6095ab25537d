package plan

import (
	"bytes"
	"slices"

	"github.com/gravitational/trace"
)

// MergePatch applies an RFC 7396 merge patch to a text. Members that the patch does not name
// are unchanged: numbers keep their exact digits and members their order; new members follow
// in the order of the patch. The available libraries write members in an unpredictable
// order, so none is used.
func MergePatch(base, patch []byte) ([]byte, error) {
	if len(patch) > MaxBytes {
		return nil, trace.LimitExceeded("the patch has %d bytes; keep it within %d", len(patch), MaxBytes)
	}
	patchTree, err := decodeTree(patch)
	if err != nil {
		return nil, trace.BadParameter("the patch is not one JSON value: %v; send one JSON object", err)
	}
	if _, isObject := patchTree.([]objectMember); !isObject {
		return nil, trace.BadParameter("the patch is not an object; send only the fields to change")
	}
	baseTree, err := decodeTree(base)
	if err != nil {
		return nil, trace.BadParameter("the plan in force can't be read: %v; send a whole plan", err)
	}
	if path, found := findDuplicate(patchTree, ""); found {
		return nil, trace.BadParameter("%s is given twice in the patch; keep one", path)
	}
	var out bytes.Buffer
	if err := encodeTree(&out, mergeTree(baseTree, patchTree)); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func mergeTree(base, patch any) any {
	changes, isObject := patch.([]objectMember)
	if !isObject {
		return patch
	}
	members, _ := base.([]objectMember)
	merged := slices.Clone(members)
	for _, change := range changes {
		at := slices.IndexFunc(merged, func(m objectMember) bool { return m.key == change.key })
		switch {
		case change.value == nil && at >= 0:
			merged = slices.Delete(merged, at, at+1)
		case change.value == nil:
		case at >= 0:
			merged[at].value = mergeTree(merged[at].value, change.value)
		default:
			merged = append(merged, objectMember{change.key, mergeTree(nil, change.value)})
		}
	}
	if merged == nil {
		merged = []objectMember{}
	}
	return merged
}
