package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Fails when the settings table in docs/operations.md lacks a key, has another
// order or states another default.
func TestOperationsPageHasEverySetting(t *testing.T) {
	page, err := os.ReadFile("../docs/operations.md")
	assert.NilError(t, err)
	rest := string(page)
	for _, row := range tableRows("", reflect.ValueOf(Default())) {
		_, after, found := strings.Cut(rest, row)
		assert.Assert(t, found, "no row that begins with %q, in order", row)
		rest = after
	}
}

// tableRows returns the beginning of the table row of each setting in v.
func tableRows(prefix string, v reflect.Value) []string {
	var all []string
	for k := range v.NumField() {
		key := prefix + v.Type().Field(k).Tag.Get("yaml")
		value := v.Field(k)
		switch {
		case value.Kind() == reflect.Struct:
			all = append(all, tableRows(key+".", value)...)
		case value.IsZero() && value.Kind() == reflect.String:
			all = append(all, fmt.Sprintf("| `%s` | |", key))
		default:
			all = append(all, fmt.Sprintf("| `%s` | %v |", key, value))
		}
	}
	return all
}
