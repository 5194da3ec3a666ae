package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"
)

// Decode decodes YAML into a struct that holds the defaults, and returns the YAML tree for
// LineOf. Unknown keys are faults; their messages suggest similar keys of the given types.
// The error has type Faults.
func Decode(raw []byte, into any, known ...reflect.Type) (*yaml.Node, error) {
	dec := yaml.NewDecoder(bytes.NewReader(raw))
	dec.KnownFields(true)
	err := dec.Decode(into)
	var types *yaml.TypeError
	switch {
	case errors.Is(err, io.EOF):
		return nil, Faults{{Text: "the file is empty"}}
	case errors.As(err, &types):
		return nil, typeFaults(types, known)
	case err != nil:
		return nil, Faults{lineFault(strings.TrimPrefix(err.Error(), "yaml: "))}
	}
	root := new(yaml.Node)
	if err := yaml.Unmarshal(raw, root); err != nil {
		return nil, Faults{{Text: err.Error()}}
	}
	return root, nil
}

// unknownField matches the decoder's message for an unknown key.
var unknownField = regexp.MustCompile(`^line (\d+): field (\S+) not found in type \S+$`)

// typeFaults converts decoding errors to faults.
func typeFaults(e *yaml.TypeError, known []reflect.Type) Faults {
	var faults Faults
	for _, text := range e.Errors {
		if m := unknownField.FindStringSubmatch(text); m != nil {
			line, _ := strconv.Atoi(m[1])
			faults = append(faults, Fault{line, fmt.Sprintf("unknown key %q%s", m[2], suggestion(m[2], known))})
			continue
		}
		faults = append(faults, lineFault(text))
	}
	return faults
}

// linePrefix matches a decoder message that begins with a line number.
var linePrefix = regexp.MustCompile(`^line (\d+): (.*)$`)

// lineFault converts a decoder message with an optional line prefix to a fault.
func lineFault(text string) Fault {
	if m := linePrefix.FindStringSubmatch(text); m != nil {
		line, _ := strconv.Atoi(m[1])
		return Fault{line, m[2]}
	}
	return Fault{0, text}
}

// minSuggestionPrefix is the number of leading bytes that an unknown key must share with a
// suggested one.
const minSuggestionPrefix = 3

// suggestion returns a message suffix that suggests a known key with the same prefix, or
// an empty string. If the key is valid in another of the given types, the suggestion may be
// the key itself.
func suggestion(key string, known []reflect.Type) string {
	for _, t := range known {
		for k := range t.NumField() {
			name := t.Field(k).Tag.Get("yaml")
			if len(key) >= minSuggestionPrefix && strings.HasPrefix(name, key[:minSuggestionPrefix]) {
				return fmt.Sprintf("; did you mean %q?", name)
			}
		}
	}
	return ""
}

var validate = newValidator()

// newValidator returns a validator that reports fields by their YAML keys.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })
	return v
}

// StructFaults validates the fields of v by their validate tags. part is the key of v in
// the file, or empty for the top level.
func StructFaults(v any, part string, root *yaml.Node) Faults {
	var invalid validator.ValidationErrors
	if !errors.As(validate.Struct(v), &invalid) {
		return nil
	}
	var faults Faults
	for _, e := range invalid {
		path := []string{e.Field()}
		if part != "" {
			path = []string{part, e.Field()}
		}
		line := LineOf(root, path...)
		faults = append(faults, Fault{line, strings.Join(path, ".") + " " + faultText(e)})
	}
	return faults
}

// faultText returns the message for a failed validation. The limits of strings and lists
// are lengths.
func faultText(e validator.FieldError) string {
	switch e.Tag() {
	case "required":
		return "is missing"
	case "required_if":
		return "is not set, and " + withArticle(e.Param()) + " needs it"
	case "oneof":
		return fmt.Sprintf("is %q, not one of: %s", e.Value(), e.Param())
	case "min":
		return fmt.Sprintf("is %v, below %s", e.Value(), e.Param())
	case "max":
		return fmt.Sprintf("is %v, above %s", e.Value(), e.Param())
	case "tcp_addr":
		return fmt.Sprintf("is %q, not an address such as 127.0.0.1:7400", e.Value())
	case "http_url":
		return fmt.Sprintf("is %q, not a URL such as http://127.0.0.1:7300", e.Value())
	case "nefield":
		return fmt.Sprintf("is %q, the same as %s", e.Value(), strings.ToLower(e.Param()))
	}
	return fmt.Sprintf("is %v, not a %s", e.Value(), e.Tag())
}

// withArticle returns the role of a condition such as "Role agent", prefixed with an
// article.
func withArticle(condition string) string {
	_, role, _ := strings.Cut(condition, " ")
	return "an " + role
}

// LineOf returns the line of the key at path, or zero if the file does not have it.
func LineOf(n *yaml.Node, path ...string) int {
	if n.Kind == yaml.DocumentNode {
		n = n.Content[0]
	}
	line := 0
	for _, key := range path {
		line, n = childNode(n, key)
		if n == nil {
			return 0
		}
	}
	return line
}

// childNode returns the value of a key and the line of the key, or a nil node.
func childNode(n *yaml.Node, key string) (int, *yaml.Node) {
	for k := 0; k+1 < len(n.Content); k += 2 {
		if n.Content[k].Value == key {
			return n.Content[k].Line, n.Content[k+1]
		}
	}
	return 0, nil
}
