// Package policy lists the mechanisms by which a cluster decides where tasks run, what is repeated
// and what is waited for. Experiments disable them one at a time to measure the effect of each. A
// daemon always runs the zero Policy, with all of them enabled; there is no setting for it.
package policy

import (
	"fmt"
	"strings"
)

// Policy says which mechanisms are disabled. The zero value enables all. None of them is part of a
// safety rule: with any of them disabled, the cluster still does everything at most once.
type Policy struct {
	// Order of waiting requests.
	NoRanking       bool // in order of arrival instead of by apparent tardiness cost
	NoTargetClasses bool // as if every job could still meet its latency target
	NoJobValue      bool // as if every job had the same value
	NoHeadroom      bool // long tasks leave no cores free for queues of higher priority

	// Capacity for requests that do not fit.
	NoReservation bool // no worker is reserved for a request that was passed over
	NoPreemption  bool // no running attempt is withdrawn for a waiting request

	// Choice of the worker.
	NoWorkerSpeed    bool // ignores how fast a worker has recently been
	NoFailureRate    bool // ignores how often its attempts have failed
	NoSlowdown       bool // ignores how slow it currently is
	NoDataRack       bool // ignores where the data of a task is
	NoDataRackWait   bool // a task does not wait for the rack of its data
	NoLocalityFactor bool // a task away from its data counts as slow

	// After a loss.
	NoEarlyInitialWait bool // a new leader always waits until all earlier leases have expired
	NoEndBroadcast     bool // agents report ends to the leader only
	NoGatewayEndBuffer bool // gateways do not buffer reports of ends

	// Under overload.
	NoOverloadTransfer bool // an overloaded leader does not transfer its leadership
	NoLoadShedding     bool // new work is not rejected, however far the leader is behind
	NoSilenceDetection bool // gateways forward changes to a leader that does not answer

	// Calls to workers.
	NoLongPoll  bool // renewals do not wait at the worker for an end
	NoIdlePoll  bool // an idle worker is polled as often as any other
	NoLongLease bool // leases are too short to outlast the loss of a leader
}

// Mechanism is a mechanism under its name in experiments.
type Mechanism struct {
	Name string
	off  func(*Policy) *bool
}

// Mechanisms lists all mechanisms in the order of the fields of Policy.
func Mechanisms() []Mechanism {
	return []Mechanism{
		{"ranking", func(p *Policy) *bool { return &p.NoRanking }},
		{"target-classes", func(p *Policy) *bool { return &p.NoTargetClasses }},
		{"job-value", func(p *Policy) *bool { return &p.NoJobValue }},
		{"headroom", func(p *Policy) *bool { return &p.NoHeadroom }},
		{"reservation", func(p *Policy) *bool { return &p.NoReservation }},
		{"preemption", func(p *Policy) *bool { return &p.NoPreemption }},
		{"worker-speed", func(p *Policy) *bool { return &p.NoWorkerSpeed }},
		{"failure-rate", func(p *Policy) *bool { return &p.NoFailureRate }},
		{"slowdown", func(p *Policy) *bool { return &p.NoSlowdown }},
		{"data-rack", func(p *Policy) *bool { return &p.NoDataRack }},
		{"data-rack-wait", func(p *Policy) *bool { return &p.NoDataRackWait }},
		{"locality-factor", func(p *Policy) *bool { return &p.NoLocalityFactor }},
		{"early-initial-wait", func(p *Policy) *bool { return &p.NoEarlyInitialWait }},
		{"end-broadcast", func(p *Policy) *bool { return &p.NoEndBroadcast }},
		{"gateway-end-buffer", func(p *Policy) *bool { return &p.NoGatewayEndBuffer }},
		{"overload-transfer", func(p *Policy) *bool { return &p.NoOverloadTransfer }},
		{"load-shedding", func(p *Policy) *bool { return &p.NoLoadShedding }},
		{"silence-detection", func(p *Policy) *bool { return &p.NoSilenceDetection }},
		{"long-poll", func(p *Policy) *bool { return &p.NoLongPoll }},
		{"idle-poll", func(p *Policy) *bool { return &p.NoIdlePoll }},
		{"long-lease", func(p *Policy) *bool { return &p.NoLongLease }},
	}
}

// Names lists the names of all mechanisms.
func Names() []string {
	var names []string
	for _, mechanism := range Mechanisms() {
		names = append(names, mechanism.Name)
	}
	return names
}

// Without returns the policy with the named mechanisms disabled. The error for an unknown name
// lists the known ones.
func Without(names ...string) (Policy, error) {
	var p Policy
	for _, name := range names {
		if err := p.disable(name); err != nil {
			return Policy{}, err
		}
	}
	return p, nil
}

func (p *Policy) disable(name string) error {
	for _, mechanism := range Mechanisms() {
		if mechanism.Name == name {
			*mechanism.off(p) = true
			return nil
		}
	}
	return fmt.Errorf("unknown mechanism %q; known mechanisms: %s", name, strings.Join(Names(), ", "))
}
