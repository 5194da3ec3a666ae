// Command experiment plays scenes of the emulator (package fleet) with the code as it
// is and with constants changed, and says what each change is worth:
//
//	go run ./testutil/fleet/experiment -scenes 'burst|uneven' -seeds 8 \
//		-set owner.loadWeight=0 -set "owner.startedAdvance=0;owner.sizeDelay=0"
//
// Each -set is one variant: a list of constants of this module and the values they get.
// The variant is built with the constants replaced (go build -overlay), so that the
// code needs no switches. All variants play the same seeds; a difference below twice
// its standard error is none.
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
	flaggy.SetDescription("plays scenes of the emulator with constants changed")
	flaggy.String(&scenes, "s", "scenes", "regular expression of the scenes' names")
	flaggy.Int(&seeds, "n", "seeds", "seeds of each scene")
	flaggy.StringSlice(&sets, "c", "set", "a variant: PACKAGE.CONSTANT=VALUE;...")
	flaggy.String(&play, "p", "play", "play this scene and print its results, one line a seed (used by the command itself)")
	flaggy.Parse()
	if play != "" {
		playScene(play, seeds)
		return
	}
	if err := compare(scenes, seeds, sets); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

// playScene plays a scene with each seed and prints the results.
func playScene(name string, seeds int) {
	scene, found := fleet.SceneNamed(name)
	if !found {
		fmt.Fprintln(os.Stderr, "experiment: no scene", name)
		os.Exit(1)
	}
	for seed := 1; seed <= seeds; seed++ {
		fmt.Println(resultOf(scene, uint64(seed)))
	}
}

// compare builds the variants, plays them and prints the tables.
func compare(pattern string, seeds int, sets []string) error {
	wanted, err := regexp.Compile(pattern)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "experiment")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	variants := []*variant{{name: "as it is"}}
	for _, s := range sets {
		variants = append(variants, &variant{name: s, changes: strings.Split(s, ";")})
	}
	for k, v := range variants {
		if err := v.build(context.Background(), dir, k); err != nil {
			return fmt.Errorf("%s: %w", v.name, err)
		}
	}
	var names []string
	for _, s := range fleet.Scenes() {
		if wanted.MatchString(s.Name) {
			names = append(names, s.Name)
		}
	}
	playAll(variants, names, seeds)
	for _, v := range variants {
		v.print(os.Stdout, variants[0], names)
	}
	return nil
}

// playAll plays all scenes of all variants, as many at once as there are processors
// to spare.
func playAll(variants []*variant, names []string, seeds int) {
	var wait sync.WaitGroup
	var lock sync.Mutex
	slots := make(chan struct{}, max(1, runtime.NumCPU()-1))
	for _, name := range names {
		for _, v := range variants {
			wait.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				results, err := v.play(context.Background(), name, seeds)
				lock.Lock()
				defer lock.Unlock()
				if err != nil {
					fmt.Fprintf(os.Stderr, "experiment: %s, %s: %v\n", v.name, name, err)
					return
				}
				v.results[name] = results
			})
		}
	}
	wait.Wait()
}
