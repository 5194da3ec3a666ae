// Command experiment plays scenes of the fleet simulation (package fleet) with changed
// constants and prints the effect of each change. It must run in the root of the module:
//
//	go run ./testutil/fleet/experiment -scenes 'burst|uneven' -seeds 8 \
//		-set owner.loadWeight=0 -set "owner.startedAdvance=0;owner.sizeDelay=0"
//
// Each -set defines one variant: a list of constants of this module with their new values.
// Variants are built with the constants replaced (go build -overlay), so that the code needs no
// switches. All variants play the same seeds. Differences below twice their standard error are
// not significant.
package main

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"runtime"
	"strings"
	"sync"

	"github.com/integrii/flaggy"

	"github.com/beaconpoint/beaconpoint/testutil/fleet"
)

func main() {
	scenes, play := ".", ""
	seeds := 8
	var sets []string
	flaggy.SetName("experiment")
	flaggy.SetDescription("plays scenes of the fleet simulation with changed constants")
	flaggy.String(&scenes, "s", "scenes", "regular expression that selects scenes by name")
	flaggy.Int(&seeds, "n", "seeds", "number of seeds per scene")
	flaggy.StringSlice(&sets, "c", "set", "a variant: PACKAGE.CONSTANT=VALUE;...")
	flaggy.String(&play, "p", "play",
		"play this scene and print one line of results per seed (for subprocesses of this command)")
	flaggy.Parse()
	if play != "" {
		playScene(play, seeds)
		return
	}
	if err := runExperiment(scenes, seeds, sets); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

// playScene plays a scene and prints one line of results per seed.
func playScene(name string, seeds int) {
	scene, found := fleet.SceneNamed(name)
	if !found {
		fmt.Fprintln(os.Stderr, "experiment: unknown scene", name)
		os.Exit(1)
	}
	for seed := 1; seed <= seeds; seed++ {
		fmt.Println(resultOf(scene, uint64(seed)))
	}
}

// runExperiment builds the variants, plays them and prints the tables.
func runExperiment(pattern string, seeds int, sets []string) error {
	selected, err := regexp.Compile(pattern)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "experiment")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	variants := []*variant{{name: "baseline"}}
	for _, s := range sets {
		variants = append(variants, &variant{name: s, changes: strings.Split(s, ";")})
	}
	for k, v := range variants {
		if err := v.build(context.Background(), dir, k); err != nil {
			return fmt.Errorf("building variant %q: %w", v.name, err)
		}
	}
	var names []string
	for _, s := range fleet.Scenes() {
		if selected.MatchString(s.Name) {
			names = append(names, s.Name)
		}
	}
	playAll(variants, names, seeds)
	for _, v := range variants {
		v.printTable(os.Stdout, variants[0], names)
	}
	return nil
}

// playAll plays all scenes of all variants in parallel, leaving one processor free.
func playAll(variants []*variant, names []string, seeds int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, max(1, runtime.NumCPU()-1))
	for _, name := range names {
		for _, v := range variants {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				results, err := v.play(context.Background(), name, seeds)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					fmt.Fprintf(os.Stderr, "experiment: variant %q, scene %q: %v\n", v.name, name, err)
					return
				}
				v.results[name] = results
			})
		}
	}
	wg.Wait()
}
