package fleet

import (
	"slices"
	"time"
)

// Scene is a workload on a fleet under one trouble. Its shapes cover the ranges that a
// deployment may have.
type Scene struct {
	Name            string
	Load            float64 // share of the targets' room that the jobs take
	Entries, Agents int
	// Shape changes what jobs have in common, Classes their kinds; nil: as usual.
	Shape   func(*Shape)
	Classes func([]Class)
	Speeds  []float64 // of the targets by turns; nil: as usual
	// LinkMbps and SpecBytes are as in Config.
	LinkMbps  float64
	SpecBytes int
	// Halls is how many data halls the targets stand in by turns.
	Halls int
	// ComeBack is how long callers that were refused come back; zero: never.
	ComeBack time.Duration
	// Trouble begins the trouble; Outages says which targets are of no use meanwhile.
	Trouble func(*World)
	Outages []Outage
}

// Outage is a time during which a target is of no use.
type Outage struct {
	Target   int
	From, To time.Duration
}

// smallFleet is how many targets a small scene has.
const smallFleet = 11

// troubleAt is when a scene's trouble begins.
const troubleAt = 4 * time.Second

// from begins a trouble at troubleAt.
func from(do func(w *World)) func(*World) {
	return func(w *World) { w.At(troubleAt, func() { do(w) }) }
}

// behaving has the first so many targets be in a behaviour for a while.
func behaving(targets int, m Behaviour, lasts time.Duration) func(*World) {
	return from(func(w *World) {
		for _, a := range w.agents[:targets] {
			w.behave(a, m, lasts)
		}
	})
}

// surge has jobs come at that many times the rate for three seconds.
func surge(times float64) func(*World) {
	return from(func(w *World) {
		w.Surge = times
		w.At(3*time.Second, func() { w.Surge = 0 })
	})
}

// out returns the outage of the first target from troubleAt on.
func out(lasts time.Duration) []Outage {
	return []Outage{{Target: 0, From: troubleAt, To: troubleAt + lasts}}
}

// scene returns a scene on a fleet.
func scene(name string, entries, agents int, load float64, trouble func(*World), outages ...Outage) Scene {
	return Scene{Name: name, Load: load, Entries: entries, Agents: agents, Trouble: trouble, Outages: outages}
}

// small returns a scene on the small fleet.
func small(name string, load float64, trouble func(*World), outages ...Outage) Scene {
	return scene(name, 3, smallFleet, load, trouble, outages...)
}

// large returns a scene on the large fleet.
func large(name string, load float64, trouble func(*World)) Scene {
	return scene(name, 12, 40, load, trouble)
}

// huge returns a scene on the largest fleet.
func huge(name string, load float64, trouble func(*World)) Scene {
	return scene(name, 55, 240, load, trouble)
}

// evacuated returns the scene with the first of three halls evacuated for four seconds: a
// third of the room is gone at once.
func (s Scene) evacuated(name string) Scene {
	const lasts = 4 * time.Second
	s.Name, s.Halls = name, 3
	s.Trouble = from(func(w *World) { w.operator.evacuate(hallName(0), lasts) })
	for k := 0; k < s.Agents; k += s.Halls {
		s.Outages = append(s.Outages, Outage{Target: k, From: troubleAt, To: troubleAt + lasts})
	}
	return s
}

// evacuatedCold is evacuated for a hall whose targets are cold afterwards.
func (s Scene) evacuatedCold(name string) Scene {
	s = s.evacuated(name)
	s.Trouble = from(func(w *World) { w.operator.evacuateCold(hallName(0), 4*time.Second, true) })
	return s
}

// shaped returns the scene with a change of its jobs' shape.
func (s Scene) shaped(name string, change func(*Shape)) Scene {
	s.Name = name
	s.Shape = change
	return s
}

// returning returns the scene with callers that come back when refused, for so long.
func (s Scene) returning(name string, patience time.Duration) Scene {
	s.Name = name
	s.ComeBack = patience
	return s
}

// with returns the scene with a change of its classes.
func (s Scene) with(name string, change func([]Class)) Scene {
	s.Name = name
	s.Classes = change
	return s
}

// Scenes returns all scenes: troubles with jobs of the usual shape, then shapes at
// 75% load with and without a trouble.
func Scenes() []Scene {
	const four = 4 * time.Second
	calm := small("", 0.75, nil)
	slow := small("", 0.75, behaving(1, Behaviour{Slow: 6}, four), out(four)...)
	hangs := small("", 0.75, behaving(1, Behaviour{Hanging: true}, four), out(four)...)
	burst := small("", 0.75, surge(1.8))
	uneven := func(s *Shape) { s.TaskSpread = 0.4 }
	veryUneven := func(s *Shape) { s.TaskSpread = 0.5 }
	wild := func(s *Shape) { s.GuessError = 0.9 }
	wilder := func(s *Shape) { s.GuessError = 1.2 }
	exact := func(s *Shape) { s.GuessError = 0.1 }
	double := func(s *Shape) { s.GuessBias = 2 }
	half := func(s *Shape) { s.GuessBias = 0.5 }
	return []Scene{
		small("half load", 0.65, nil),
		small("high load", 0.85, nil),
		large("high load, large", 0.85, nil),
		small("burst", 0.75, surge(1.8)),
		large("burst, large", 0.75, surge(1.8)),
		huge("high load, huge", 0.85, nil),
		huge("burst, huge", 0.75, surge(1.8)),
		small("late orders", 0.75, behaving(smallFleet, Behaviour{Late: 0.06}, 2*four)),
		small("lost answers", 0.75, behaving(smallFleet, Behaviour{Lost: 0.06}, 2*four)),
		small("all killed", 0.75, from((*World).KillAll)),
		small("a target hangs", 0.75, behaving(1, Behaviour{Hanging: true}, four), out(four)...),
		small("a target is slow", 0.75, behaving(1, Behaviour{Slow: 6}, four), out(four)...),
		small("a target fails all", 0.75, behaving(1, Behaviour{Failing: 1}, four), out(four)...),

		calm.shaped("uneven tasks", uneven),
		burst.shaped("uneven tasks, burst", uneven),
		slow.shaped("uneven tasks, a target is slow", uneven),
		calm.shaped("very uneven tasks", veryUneven),
		calm.shaped("wild guesses", wild),
		burst.shaped("wild guesses, burst", wild),
		slow.shaped("wild guesses, a target is slow", wild),
		hangs.shaped("wild guesses, a target hangs", wild),
		calm.shaped("wilder guesses, uneven tasks", func(s *Shape) { wilder(s); uneven(s) }),
		calm.shaped("exact guesses", exact),
		slow.shaped("exact guesses, a target is slow", exact),
		calm.shaped("guesses of twice the work", double),
		slow.shaped("guesses of twice the work, a target is slow", double),
		calm.shaped("guesses of half the work", half),
		slow.shaped("guesses of half the work, a target is slow", half),
		burst.shaped("guesses of half the work, burst", half),
		calm.shaped("tight objectives", func(s *Shape) { s.Stretch = 1.25 }),
		burst.shaped("tight objectives, burst", func(s *Shape) { s.Stretch = 1.25 }),
		burst.shaped("wide objectives, burst", func(s *Shape) { s.Stretch = 3 }),
		calm.with("short work", func(c []Class) { scaleWork(c, 1.0/6) }),
		calm.with("long work", func(c []Class) { scaleWork(c, 2) }),
		slow.with("long work, a target is slow", func(c []Class) { scaleWork(c, 2) }),
		burst.with("one priority, burst", func(c []Class) { setPriorities(c, 0, 0, 0) }),
		burst.with("priorities reversed, burst", func(c []Class) { setPriorities(c, 2, 0, 1) }),
		linked("narrow links", 2),
		linked("links of half the need", 1),
		linked("links of a quarter of the need", 0.5),
		unequal("unequal targets", 0.75, nil),
		unequal("unequal targets, burst", 0.75, surge(1.8)),
		small("overload", 1.2, nil),
		small("", 0.6, nil).evacuated("a hall is evacuated"),
		small("", 0.8, nil).evacuated("a hall is evacuated at high load"),
		small("", 0.8, nil).evacuatedCold("a hall comes back cold"),
		large("", 0.8, nil).evacuatedCold("a hall comes back cold, large"),
		large("", 0.8, nil).evacuated("a hall is evacuated at high load, large"),
		large("all killed, large", 0.75, from((*World).KillAll)),
		burst.returning("burst, callers come back", 15*time.Second),
		large("", 0.75, surge(1.8)).returning("burst, large, callers come back", 15*time.Second),
		burst.shaped("", wild).returning("wild guesses, burst, callers come back", 15*time.Second),
		small("", 0.95, nil).returning("full load, callers come back", 15*time.Second),
	}
}

// unequal returns a scene on targets that differ by four times.
func unequal(name string, load float64, trouble func(*World)) Scene {
	s := small(name, load, trouble)
	s.Speeds = []float64{0.5, 1, 2}
	return s
}

// linked returns a scene in which entries have narrow links. Sent with each order, specs of
// 1,200 bytes need some 2 Mbit/s of each.
func linked(name string, megabits float64) Scene {
	s := small(name, 0.75, nil)
	s.LinkMbps, s.SpecBytes = megabits, 1200
	return s
}

// scaleWork makes the classes' tasks that many times as long, and their jobs fewer.
func scaleWork(classes []Class, times float64) {
	for k := range classes {
		c := &classes[k]
		c.Work = time.Duration(times * float64(c.Work))
		c.Longest = time.Duration(times * float64(c.Longest))
		c.Rate /= times
	}
}

// setPriorities sets the classes' priorities.
func setPriorities(classes []Class, priorities ...int) {
	for k, p := range priorities {
		classes[k].Priority = p
	}
}

// SceneNamed returns the scene of that name.
func SceneNamed(name string) (Scene, bool) {
	all := Scenes()
	k := slices.IndexFunc(all, func(s Scene) bool { return s.Name == name })
	if k < 0 {
		return Scene{}, false
	}
	return all[k], true
}

// New returns a world that plays the scene with a seed.
func (s Scene) New(seed uint64) *World {
	classes := Tracking(s.Agents, s.Load)
	if s.Classes != nil {
		s.Classes(classes)
	}
	cfg := PolicyConfig(seed, s.Entries, s.Agents, classes)
	if s.Shape != nil {
		s.Shape(&cfg.Shape)
	}
	if s.Speeds != nil {
		cfg.Speeds = s.Speeds
	}
	cfg.ComeBack = s.ComeBack
	cfg.LinkMbps, cfg.SpecBytes = s.LinkMbps, s.SpecBytes
	cfg.Halls = s.Halls
	w := New(cfg)
	if s.Trouble != nil {
		s.Trouble(w)
	}
	return w
}
