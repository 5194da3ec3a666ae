package beaconpoint

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// walk calls do with each file whose name has the given suffix, except in the journal, in
// build output and in the Git directory.
func walk(t *testing.T, suffix string, do func(path, text string)) {
	t.Helper()
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (path == "journal" || path == "target" || path == ".git") {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, suffix) {
			return nil
		}
		raw, err := os.ReadFile(path)
		if err == nil {
			do(path, string(raw))
		}
		return err
	})
	assert.NilError(t, err)
}

// link matches the path of a relative Markdown link, without its anchor.
var link = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)

func TestPageLinksResolve(t *testing.T) {
	walk(t, ".md", func(path, text string) {
		for _, m := range link.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), m[1]))
			assert.Check(t, err == nil, "%s links to %s, which does not exist", path, m[1])
		}
	})
}

// Patterns of names in pages.
var (
	// testName matches the name of a test.
	testName = regexp.MustCompile("`(Test[A-Za-z]+)`")
	// constantName matches the name of a constant in the first column of a table.
	constantName = regexp.MustCompile("`([a-zA-Z]+)`")
)

// TestPagesNameExistingTestsAndConstants guards against pages that name tests or constants
// that do not exist.
func TestPagesNameExistingTestsAndConstants(t *testing.T) {
	var code strings.Builder
	walk(t, ".go", func(_, text string) { code.WriteString(text) })
	all := code.String()
	for _, page := range []string{"docs/guarantees.md", "docs/decisions.md", "seats/docs/guarantees.md"} {
		raw, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, m := range testName.FindAllStringSubmatch(string(raw), -1) {
			assert.Check(t, strings.Contains(all, "func "+m[1]+"("),
				"%s names %s, which is not defined in the code", page, m[1])
		}
	}
	raw, err := os.ReadFile("docs/decisions.md")
	assert.NilError(t, err)
	for line := range strings.Lines(string(raw)) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		first, _, _ := strings.Cut(line[1:], "|")
		for _, m := range constantName.FindAllStringSubmatch(first, -1) {
			// A constant, variable or function of this name, or a settings key.
			defined := regexp.MustCompile(`(?m)(^\s*|const |func .*)` + m[1] + `\b.*(=|\{)|yaml:"` + m[1] + `"`)
			assert.Check(t, defined.MatchString(all),
				"docs/decisions.md names %s, which is not defined in the code", m[1])
		}
	}
}
