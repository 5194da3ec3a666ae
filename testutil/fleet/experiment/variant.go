package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
)

// module is the path of this module. Variants change constants of its packages.
const module = "github.com/beaconpoint/beaconpoint"

// variant is a build of the command with changed constants.
type variant struct {
	name    string
	changes []string // "PACKAGE.CONSTANT=VALUE"
	binary  string
	results map[string][]result // by scene, one per seed
}

// build builds the variant in dir. index makes the names of its files unique.
func (v *variant) build(ctx context.Context, dir string, index int) error {
	v.results = make(map[string][]result)
	v.binary = filepath.Join(dir, "variant-"+strconv.Itoa(index))
	overlay := make(map[string]string)
	for _, c := range v.changes {
		if err := replaceConstant(c, dir, index, overlay); err != nil {
			return err
		}
	}
	overlayJSON, err := json.Marshal(map[string]any{"Replace": overlay})
	if err != nil {
		return err
	}
	file := v.binary + ".json"
	if err := os.WriteFile(file, overlayJSON, 0o600); err != nil {
		return err
	}
	out, err := exec.CommandContext(ctx, "go", "build", "-overlay", file, "-o", v.binary,
		module+"/testutil/fleet/experiment").CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// replaceConstant adds to the overlay a copy of the file that declares a constant, with the
// value replaced.
func replaceConstant(change, dir string, variantIndex int, overlay map[string]string) error {
	name, value, found := strings.Cut(change, "=")
	folder, constant, dotted := strings.Cut(name, ".")
	if !found || !dotted {
		return fmt.Errorf("change %q does not have the form PACKAGE.CONSTANT=VALUE", change)
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		return err
	}
	for _, file := range files {
		path, err := filepath.Abs(file)
		if err != nil {
			return err
		}
		source := path
		if changed := overlay[path]; changed != "" {
			source = changed
		}
		text, err := os.ReadFile(source)
		if err != nil {
			return err
		}
		from, to := constantValueRange(text, constant)
		if to == 0 {
			continue
		}
		copied := filepath.Join(dir, fmt.Sprintf("%d-%s-%s", variantIndex, filepath.Base(folder), filepath.Base(file)))
		overlay[path] = copied
		return os.WriteFile(copied, []byte(string(text[:from])+value+string(text[to:])), 0o600)
	}
	return fmt.Errorf("constant %s is not declared with a value in the Go files of folder %s", constant, folder)
}

// constantValueRange returns the byte offsets of the value of a constant or variable in a source
// file, or zeros if the file does not parse or does not declare the name with a value.
func constantValueRange(text []byte, constant string) (from, to int) {
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, "", text, parser.SkipObjectResolution)
	if err != nil {
		return 0, 0
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		s, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		for k, name := range s.Names {
			if name.Name == constant && k < len(s.Values) {
				from, to = files.Position(s.Values[k].Pos()).Offset, files.Position(s.Values[k].End()).Offset
			}
		}
		return true
	})
	return from, to
}

// play plays a scene in a subprocess and returns one result per seed.
func (v *variant) play(ctx context.Context, scene string, seeds int) ([]result, error) {
	out, err := exec.CommandContext(ctx, v.binary, "-play", scene, "-seeds", strconv.Itoa(seeds)).Output()
	if err != nil {
		return nil, err
	}
	var results []result
	lines := bufio.NewScanner(bytes.NewReader(out))
	for lines.Scan() {
		var r result
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, err
		}
		results = append(results, r)
	}
	return results, lines.Err()
}
