package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Fails when a settings file in testdata yields other faults than its golden
// file.
func TestFaultsMatchGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			_, err := Load(file)
			text := "good"
			if err != nil {
				text = err.Error()
			}
			golden.Assert(t, text+"\n", strings.TrimSuffix(filepath.Base(file), ".yaml")+".golden")
		})
	}
}

func TestExampleFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/[ea]*[0-9].yaml")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 6)
	for _, file := range files {
		_, err := Load(file)
		assert.NilError(t, err, file)
	}
}

func TestMissingFileIsNamed(t *testing.T) {
	_, err := Load("nowhere.yaml")
	assert.ErrorContains(t, err, "there is no settings file nowhere.yaml")
}

func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/*.yaml")
	assert.NilError(f, err)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		assert.NilError(f, err)
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse(raw)
		if err == nil {
			assert.Assert(t, s.Name != "" && s.Role != "", "%+v", s)
		}
	})
}
