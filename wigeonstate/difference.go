package wigeonstate

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
)

const (
	// maxDifferences bounds the keys that a verdict lists, and maxValueBytes each of their values.
	maxDifferences = 8
	maxValueBytes  = 60
	// maxReasonBytes bounds the reason that is kept of a refused change.
	maxReasonBytes = 2000
)

// shorten cuts the text and replaces what is not UTF-8, because a message that is not UTF-8 cannot be encoded,
// and one such text in the state would prevent every snapshot.
func shorten(text string, limit int) string {
	if len(text) > limit {
		text = text[:limit] + "..."
	}
	return strings.ToValidUTF8(text, "?")
}

// difference lists the keys whose values differ between the document in force and the refused one.
func difference(current, refused []byte) string {
	have, want := flatten(current), flatten(refused)
	keys := maps.Clone(have)
	maps.Copy(keys, want)
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		before, after := valueOf(have, key), valueOf(want, key)
		if before != after {
			parts = append(parts, fmt.Sprintf("%s: in force %s, refused %s", key, before, after))
		}
	}
	if len(parts) == 0 {
		return "the contents do not differ"
	}
	if len(parts) > maxDifferences {
		parts = append(parts[:maxDifferences], fmt.Sprintf("and %d more", len(parts)-maxDifferences))
	}
	return "they differ in " + strings.Join(parts, ", ")
}

func valueOf(values map[string]string, key string) string {
	if value, ok := values[key]; ok {
		return value
	}
	return "unset"
}

// flatten maps the path of each value of a YAML document to its text. Content that is not YAML has no values.
func flatten(content []byte) map[string]string {
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
		flat[path] = shorten(fmt.Sprint(value), maxValueBytes)
	}
}
