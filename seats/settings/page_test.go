package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOperationsPageHasEverySetting compares the table in docs/OPERATIONS.md
// with the code: the keys, in order, and their defaults.
func TestOperationsPageHasEverySetting(t *testing.T) {
	page, err := os.ReadFile("../docs/operations.md")
	assert.NilError(t, err)
	rest := string(page)
	for _, row := range rows("", reflect.ValueOf(Default())) {
		_, after, found := strings.Cut(rest, row)
		assert.Assert(t, found, "no row that begins with %q, in order", row)
		rest = after
	}
}

func rows(prefix string, v reflect.Value) []string {
	var all []string
	for k := range v.NumField() {
		key := prefix + v.Type().Field(k).Tag.Get("yaml")
		value := v.Field(k)
		switch {
		case value.Kind() == reflect.Struct:
			all = append(all, rows(key+".", value)...)
		case value.IsZero() && value.Kind() == reflect.String:
			all = append(all, fmt.Sprintf("| `%s` | |", key))
		default:
			all = append(all, fmt.Sprintf("| `%s` | %v |", key, value))
		}
	}
	return all
}
