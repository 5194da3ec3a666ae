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

// module is the path of this module; variants change constants of its packages.
const module = "github.com/beaconpoint/beaconpoint"

// variant is the emulator with some constants changed.
type variant struct {
	name    string
	changes []string // "PACKAGE.CONSTANT=VALUE"
	binary  string
	results map[string][]result // by scene, one a seed
}

// build builds the variant in the directory.
func (v *variant) build(ctx context.Context, dir string, number int) error {
	v.results = make(map[string][]result)
	v.binary = filepath.Join(dir, "variant-"+strconv.Itoa(number))
	overlay := make(map[string]string)
	for _, c := range v.changes {
		if err := replaceConstant(c, dir, number, overlay); err != nil {
			return err
		}
	}
	list, err := json.Marshal(map[string]any{"Replace": overlay})
	if err != nil {
		return err
	}
	file := v.binary + ".json"
	if err := os.WriteFile(file, list, 0o600); err != nil {
		return err
	}
	out, err := exec.CommandContext(ctx, "go", "build", "-overlay", file, "-o", v.binary, module+"/testutil/fleet/experiment").CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// replaceConstant adds a copy of the file that declares a constant to the overlay, with
// another value in it.
func replaceConstant(change, dir string, number int, overlay map[string]string) error {
	name, value, found := strings.Cut(change, "=")
	folder, constant, dotted := strings.Cut(name, ".")
	if !found || !dotted {
		return fmt.Errorf("%q is not PACKAGE.CONSTANT=VALUE", change)
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
		from, to := valueOf(text, constant)
		if to == 0 {
			continue
		}
		copied := filepath.Join(dir, fmt.Sprintf("%d-%s-%s", number, filepath.Base(folder), filepath.Base(file)))
		overlay[path] = copied
		return os.WriteFile(copied, []byte(string(text[:from])+value+string(text[to:])), 0o600)
	}
	return fmt.Errorf("no constant %s in %s", constant, folder)
}

// valueOf returns where the value of a constant stands in a source, zeros where it is
// not declared there.
func valueOf(text []byte, constant string) (from, to int) {
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

// play plays a scene and reads the results.
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
