// Package beaconpoint is the root of a dispatcher for sub-second tasks. It contains no
// code. README.md describes how to run the dispatcher, docs/architecture.md how it works.
//
// Deployments run `beaconpoint node`. The packages of that command, in reading order:
//
//	task, routing    data model: jobs, tasks and runs; queues
//	evacuation       data halls that get no new work
//	claim            which entry owns a job that was submitted to several
//	subset           which agents an entry connects to
//	owner            state machine of an entry: admission, ordering, placement, retries
//	supervisor       state machine of an agent: capacity, leases, health, starts
//	peer, framing    messages between entries and agents
//	node             processes that drive the two state machines
//	platform         adapter to the platform
//	estimate         estimates of task durations
//	event, explain   log events; explanation of the outcome of a job
//	code             result codes
//	settings         settings file of a process
//	stage            stages of a job whose durations are measured
//	backoff          intervals between retries
//
// testutil/fleet simulates the state machines in virtual time. testutil/system runs the
// system over loopback with the test doubles in standin. The packages under seats are the
// earlier engine, which the deploy file does not run.
package beaconpoint
