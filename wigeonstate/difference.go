package wigeonstate

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
)

const (
	// maxDifferences bounds the number of keys that a verdict lists, and maxValueBytes the length of each of their values.
	maxDifferences = 8
	maxValueBytes  = 60
	// maxReasonBytes bounds the length of the stored reason of a refused change.
	maxReasonBytes = 2000
)

// truncateUTF8 cuts the text after limit bytes and replaces invalid UTF-8. Protocol buffers cannot encode a string that is
// not valid UTF-8, so a single one in the state would make every snapshot fail.
func truncateUTF8(text string, limit int) string {
	if len(text) > limit {
		text = text[:limit] + "..."
	}
	return strings.ToValidUTF8(text, "?")
}

// describeDifferences lists the keys whose values differ between the document in force and the refused one.
func describeDifferences(current, refused []byte) string {
	currentValues, refusedValues := flattenYAML(current), flattenYAML(refused)
	keys := maps.Clone(currentValues)
	maps.Copy(keys, refusedValues)
	var differences []string
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		before, after := valueOrUnset(currentValues, key), valueOrUnset(refusedValues, key)
		if before != after {
			differences = append(differences, fmt.Sprintf("%s: in force %s, refused %s", key, before, after))
		}
	}
	if len(differences) == 0 {
		return "the contents do not differ"
	}
	if len(differences) > maxDifferences {
		differences = append(differences[:maxDifferences], fmt.Sprintf("and %d more", len(differences)-maxDifferences))
	}
	return "they differ in " + strings.Join(differences, ", ")
}

func valueOrUnset(values map[string]string, key string) string {
	if value, ok := values[key]; ok {
		return value
	}
	return "unset"
}

// flattenYAML maps the path of each scalar of a YAML document to its value as text. It returns an empty map for content
// that is not valid YAML.
func flattenYAML(content []byte) map[string]string {
	var root any
	flat := make(map[string]string)
	if yaml.Unmarshal(content, &root) == nil {
		flattenInto(flat, "", root)
	}
	return flat
}

func flattenInto(flat map[string]string, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, child := range value {
			flattenInto(flat, strings.TrimPrefix(path+"."+key, "."), child)
		}
	case []any:
		for i, child := range value {
			flattenInto(flat, fmt.Sprintf("%s[%d]", path, i), child)
		}
	default:
		flat[path] = truncateUTF8(fmt.Sprint(value), maxValueBytes)
	}
}
