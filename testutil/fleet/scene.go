package fleet

import (
	"slices"
	"time"
)

// Scene is a workload played on a fleet with at most one kind of fault.
type Scene struct {
	Name            string
	Load            float64 // demand as a share of the targets' capacity
	Entries, Agents int
	// Shape changes the properties common to all jobs, Classes the job classes; nil keeps the
	// defaults.
	Shape   func(*Shape)
	Classes func([]Class)
	Speeds  []float64 // of the targets, assigned round robin; nil keeps the defaults
	// LinkMbps and SpecBytes are passed to Config.
	LinkMbps  float64
	SpecBytes int
	// Halls is the number of data halls; targets are assigned to them round robin.
	Halls int
	// RetryFor is how long callers retry refused jobs; zero disables retries.
	RetryFor time.Duration
	// ScheduleFault schedules the fault. Outages lists the targets that are unusable meanwhile.
	ScheduleFault func(*World)
	Outages       []Outage
}

// Outage is a period in which a target can't complete tasks.
type Outage struct {
	Target   int
	From, To time.Duration
}

const smallFleetAgents = 11

const faultStart = 4 * time.Second

// atFaultStart schedules inject at faultStart.
func atFaultStart(inject func(w *World)) func(*World) {
	return func(w *World) { w.At(faultStart, func() { inject(w) }) }
}

// withBehaviour changes the behaviour of the first targets for the given duration.
func withBehaviour(targets int, behaviour Behaviour, duration time.Duration) func(*World) {
	return atFaultStart(func(w *World) {
		for _, a := range w.agents[:targets] {
			w.setBehaviour(a, behaviour, duration)
		}
	})
}

// surge multiplies the arrival rate of jobs by factor for three seconds.
func surge(factor float64) func(*World) {
	return atFaultStart(func(w *World) {
		w.Surge = factor
		w.At(3*time.Second, func() { w.Surge = 0 })
	})
}

// firstTargetOutage returns an outage of the first target that begins at faultStart.
func firstTargetOutage(duration time.Duration) []Outage {
	return []Outage{{Target: 0, From: faultStart, To: faultStart + duration}}
}

// newScene returns a scene with the default shape, classes and speeds.
func newScene(name string, entries, agents int, load float64, scheduleFault func(*World), outages ...Outage) Scene {
	return Scene{Name: name, Load: load, Entries: entries, Agents: agents,
		ScheduleFault: scheduleFault, Outages: outages}
}

// smallScene returns a scene with 3 entries and 11 agents.
func smallScene(name string, load float64, scheduleFault func(*World), outages ...Outage) Scene {
	return newScene(name, 3, smallFleetAgents, load, scheduleFault, outages...)
}

// largeScene returns a scene with 12 entries and 40 agents.
func largeScene(name string, load float64, scheduleFault func(*World)) Scene {
	return newScene(name, 12, 40, load, scheduleFault)
}

// hugeScene returns a scene with 55 entries and 240 agents.
func hugeScene(name string, load float64, scheduleFault func(*World)) Scene {
	return newScene(name, 55, 240, load, scheduleFault)
}

// withHallEvacuated returns the scene with the first of three halls evacuated for four seconds,
// which removes a third of the capacity at once.
func (s Scene) withHallEvacuated(name string) Scene {
	const duration = 4 * time.Second
	s.Name, s.Halls = name, 3
	s.ScheduleFault = atFaultStart(func(w *World) { w.operator.evacuate(hallName(0), duration) })
	for k := 0; k < s.Agents; k += s.Halls {
		s.Outages = append(s.Outages, Outage{Target: k, From: faultStart, To: faultStart + duration})
	}
	return s
}

// withHallEvacuatedCold is like withHallEvacuated, but the targets of the hall are cold
// afterwards.
func (s Scene) withHallEvacuatedCold(name string) Scene {
	s = s.withHallEvacuated(name)
	s.ScheduleFault = atFaultStart(func(w *World) { w.operator.evacuateHall(hallName(0), 4*time.Second, true) })
	return s
}

// withShape returns the scene under a new name with a changed shape.
func (s Scene) withShape(name string, change func(*Shape)) Scene {
	s.Name = name
	s.Shape = change
	return s
}

// withRetries returns the scene with callers that retry refused jobs for the given time.
func (s Scene) withRetries(name string, retryFor time.Duration) Scene {
	s.Name = name
	s.RetryFor = retryFor
	return s
}

// withClasses returns the scene under a new name with changed job classes.
func (s Scene) withClasses(name string, change func([]Class)) Scene {
	s.Name = name
	s.Classes = change
	return s
}

// Scenes returns all scenes: first those with the default job shape, then those with other
// shapes, classes, links, targets, evacuations and retries. The shapes cover the ranges that
// are expected in deployments.
func Scenes() []Scene {
	const duration = 4 * time.Second
	calm := smallScene("", 0.75, nil)
	slow := smallScene("", 0.75, withBehaviour(1, Behaviour{Slow: 6}, duration), firstTargetOutage(duration)...)
	hangs := smallScene("", 0.75, withBehaviour(1, Behaviour{Hanging: true}, duration), firstTargetOutage(duration)...)
	burst := smallScene("", 0.75, surge(1.8))
	uneven := func(s *Shape) { s.TaskSpread = 0.4 }
	veryUneven := func(s *Shape) { s.TaskSpread = 0.5 }
	wild := func(s *Shape) { s.GuessError = 0.9 }
	wilder := func(s *Shape) { s.GuessError = 1.2 }
	exact := func(s *Shape) { s.GuessError = 0.1 }
	double := func(s *Shape) { s.GuessBias = 2 }
	half := func(s *Shape) { s.GuessBias = 0.5 }
	return []Scene{
		smallScene("half load", 0.65, nil),
		smallScene("high load", 0.85, nil),
		largeScene("high load, large", 0.85, nil),
		smallScene("burst", 0.75, surge(1.8)),
		largeScene("burst, large", 0.75, surge(1.8)),
		hugeScene("high load, huge", 0.85, nil),
		hugeScene("burst, huge", 0.75, surge(1.8)),
		smallScene("late orders", 0.75, withBehaviour(smallFleetAgents, Behaviour{Late: 0.06}, 2*duration)),
		smallScene("lost answers", 0.75, withBehaviour(smallFleetAgents, Behaviour{Lost: 0.06}, 2*duration)),
		smallScene("all killed", 0.75, atFaultStart((*World).KillAll)),
		smallScene("a target hangs", 0.75, withBehaviour(1, Behaviour{Hanging: true}, duration),
			firstTargetOutage(duration)...),
		smallScene("a target is slow", 0.75, withBehaviour(1, Behaviour{Slow: 6}, duration),
			firstTargetOutage(duration)...),
		smallScene("a target fails all", 0.75, withBehaviour(1, Behaviour{Failing: 1}, duration),
			firstTargetOutage(duration)...),

		calm.withShape("uneven tasks", uneven),
		burst.withShape("uneven tasks, burst", uneven),
		slow.withShape("uneven tasks, a target is slow", uneven),
		calm.withShape("very uneven tasks", veryUneven),
		calm.withShape("wild guesses", wild),
		burst.withShape("wild guesses, burst", wild),
		slow.withShape("wild guesses, a target is slow", wild),
		hangs.withShape("wild guesses, a target hangs", wild),
		calm.withShape("wilder guesses, uneven tasks", func(s *Shape) { wilder(s); uneven(s) }),
		calm.withShape("exact guesses", exact),
		slow.withShape("exact guesses, a target is slow", exact),
		calm.withShape("guesses of twice the work", double),
		slow.withShape("guesses of twice the work, a target is slow", double),
		calm.withShape("guesses of half the work", half),
		slow.withShape("guesses of half the work, a target is slow", half),
		burst.withShape("guesses of half the work, burst", half),
		calm.withShape("tight objectives", func(s *Shape) { s.Stretch = 1.25 }),
		burst.withShape("tight objectives, burst", func(s *Shape) { s.Stretch = 1.25 }),
		burst.withShape("wide objectives, burst", func(s *Shape) { s.Stretch = 3 }),
		calm.withClasses("short work", func(c []Class) { scaleWork(c, 1.0/6) }),
		calm.withClasses("long work", func(c []Class) { scaleWork(c, 2) }),
		slow.withClasses("long work, a target is slow", func(c []Class) { scaleWork(c, 2) }),
		burst.withClasses("one priority, burst", func(c []Class) { setPriorities(c, 0, 0, 0) }),
		burst.withClasses("priorities reversed, burst", func(c []Class) { setPriorities(c, 2, 0, 1) }),
		narrowLinks("narrow links", 2),
		narrowLinks("links of half the need", 1),
		narrowLinks("links of a quarter of the need", 0.5),
		unequalTargets("unequal targets", 0.75, nil),
		unequalTargets("unequal targets, burst", 0.75, surge(1.8)),
		smallScene("overload", 1.2, nil),
		smallScene("", 0.6, nil).withHallEvacuated("a hall is evacuated"),
		smallScene("", 0.8, nil).withHallEvacuated("a hall is evacuated at high load"),
		smallScene("", 0.8, nil).withHallEvacuatedCold("a hall comes back cold"),
		largeScene("", 0.8, nil).withHallEvacuatedCold("a hall comes back cold, large"),
		largeScene("", 0.8, nil).withHallEvacuated("a hall is evacuated at high load, large"),
		largeScene("all killed, large", 0.75, atFaultStart((*World).KillAll)),
		smallScene("a target is overloaded", 0.75,
			withBehaviour(1, Behaviour{StartTakes: overloadedStartTime}, duration), firstTargetOutage(duration)...),
		smallScene("three targets are overloaded", 0.6,
			withBehaviour(3, Behaviour{StartTakes: overloadedStartTime}, duration)),
		burst.withRetries("burst, callers come back", 15*time.Second),
		largeScene("", 0.75, surge(1.8)).withRetries("burst, large, callers come back", 15*time.Second),
		burst.withShape("", wild).withRetries("wild guesses, burst, callers come back", 15*time.Second),
		smallScene("", 0.95, nil).withRetries("full load, callers come back", 15*time.Second),
	}
}

// unequalTargets returns a scene whose targets differ in speed by up to a factor of four.
func unequalTargets(name string, load float64, scheduleFault func(*World)) Scene {
	s := smallScene(name, load, scheduleFault)
	s.Speeds = []float64{0.5, 1, 2}
	return s
}

// narrowLinks returns a scene with limited bandwidth at the entries. Specs of 1,200 bytes, sent
// with each start order, need about 2 Mbit/s per entry.
func narrowLinks(name string, mbps float64) Scene {
	s := smallScene(name, 0.75, nil)
	s.LinkMbps, s.SpecBytes = mbps, 1200
	return s
}

// scaleWork multiplies the task durations of the classes by factor and divides their arrival
// rates by it, so that the load stays the same.
func scaleWork(classes []Class, factor float64) {
	for k := range classes {
		c := &classes[k]
		c.Work = time.Duration(factor * float64(c.Work))
		c.Longest = time.Duration(factor * float64(c.Longest))
		c.Rate /= factor
	}
}

// setPriorities sets the priorities of the first classes.
func setPriorities(classes []Class, priorities ...int) {
	for k, p := range priorities {
		classes[k].Priority = p
	}
}

// SceneNamed returns the scene with the given name.
func SceneNamed(name string) (Scene, bool) {
	all := Scenes()
	k := slices.IndexFunc(all, func(s Scene) bool { return s.Name == name })
	if k < 0 {
		return Scene{}, false
	}
	return all[k], true
}

// New returns a world that plays the scene with the given seed.
func (s Scene) New(seed uint64) *World {
	classes := TrackingWorkload(s.Agents, s.Load)
	if s.Classes != nil {
		s.Classes(classes)
	}
	cfg := WorkloadConfig(seed, s.Entries, s.Agents, classes)
	if s.Shape != nil {
		s.Shape(&cfg.Shape)
	}
	if s.Speeds != nil {
		cfg.Speeds = s.Speeds
	}
	cfg.RetryFor = s.RetryFor
	cfg.LinkMbps, cfg.SpecBytes = s.LinkMbps, s.SpecBytes
	cfg.Halls = s.Halls
	w := New(cfg)
	if s.ScheduleFault != nil {
		s.ScheduleFault(w)
	}
	return w
}
