// Package beaconpoint is the root of a dispatcher for sub-second tasks. It holds no
// code: README.md says how to run it, docs/architecture.md how it works.
//
// Production runs `beaconpoint node`. Read in this order:
//
//	task, routing    the model: jobs and runs; queues
//	evacuation       which data halls get no new work
//	claim            which entry has a job, whichever it was submitted to
//	reach            to which agents an entry is connected
//	owner            an entry's decisions: admission, order, placement, refusal, retry
//	supervisor       an agent's decisions: room, leases, health, what starts
//	peer, framing    what entries and agents tell each other
//	node             the processes around the two state machines
//	platform         the adapter to the users' platform
//	estimate         how long work takes
//	event, explain   log lines; what they say about a job
//	code             numbered results
//	settings, stage, backoff
//
// testutil/fleet plays the state machines in virtual time, testutil/system the whole
// path over loopback, with the stand-ins of standin. seats is the earlier engine whole,
// which the deploy file does not run.
package beaconpoint
