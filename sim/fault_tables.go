// The tables of faults, by name. The names are arguments of the simulator's command line.

package sim

import (
	"coppercourse/sim/history"
	"coppercourse/sim/world"
)

// Faults are the faults of all deployments, unless InvokedFaults has one of the same name.
var Faults = map[string]Fault{
	"kill-leader":     killFault(leaderOnly),
	"kill-controller": killFault(allControllers),
	"kill-gateway":    killFault(allGateways),
	"kill-agent":      killFault(allAgents),
	"power-all":       killControllers,
	"handover":        leaderFault(shutdownLeader),

	"freeze-leader":     freezeFault(leaderOnly),
	"freeze-controller": freezeFault(allControllers),
	"freeze-gateway":    freezeFault(allGateways),
	"freeze-agent":      freezeFault(allAgents),

	"cut-leader":     partitionFault(leaderFromAll),
	"cut-core":       partitionFault(leaderFromPeers),
	"cut-core-in":    oneWayPartitionFault(reversed(leaderFromPeers)),
	"cut-core-out":   oneWayPartitionFault(leaderFromPeers),
	"cut-controller": partitionFault(controllerFromAll),
	"cut-agent":      partitionFault(agentFromAll),
	"cut-agent-in":   oneWayPartitionFault(reversed(agentFromAll)),
	"cut-agent-out":  oneWayPartitionFault(agentFromAll),
	"cut-worker":     partitionFault(pollingWorkerFromAll),
	"cut-worker-in":  oneWayPartitionFault(reversed(pollingWorkerFromAll)),
	"cut-worker-out": oneWayPartitionFault(pollingWorkerFromAll),
	"cut-zone":       partitionFault(zoneFromAll),
	"weather":        degradeNetwork,

	"kill-worker":    killPollingWorker,
	"kill-machine":   killPollingMachine,
	"freeze-worker":  freezePollingWorker,
	"freeze-machine": freezePollingMachine,
	"leave-worker":   announceDeparture,
	"remove-worker":  removePollingWorker,
	"slow-worker":    degradedWorkerFault(func(s *history.WorkerSpec) { s.Slowdown = 5 }),
	"stall-worker":   degradedWorkerFault(func(s *history.WorkerSpec) { s.StallRate = 0.3 }),
	"failing-worker": degradedWorkerFault(func(s *history.WorkerSpec) { s.FailureRate = 0.5 }),
	"drain-rack":     drainFault(anyRack),

	"slow-disk":       slowDisk,
	"stall-disk":      stallDisk,
	"lose-disk":       diskLossFault((*Run).anyController, (*Run).loseDisk),
	"swap-controller": diskLossFault((*Run).anyController, (*Run).replaceController),

	"jump-clock": jumpClock,
}

// ControlFaults are further faults of controllers and their machines, of all deployments.
var ControlFaults = map[string]Fault{
	"cut-core-near":     partitionFault(leaderWithinZone),
	"cut-core-oldest":   partitionFault(oldestFromPeers),
	"cut-core-seeds":    leaderFault(partitionFirstSeed),
	"cut-core-both":     leaderFault(partitionAndRestart),
	"cut-from-core":     partitionFault(sampleFromControllers),
	"cut-from-core-in":  oneWayPartitionFault(reversed(sampleFromControllers)),
	"cut-from-core-out": oneWayPartitionFault(sampleFromControllers),
	"reset-connections": resetConnections,
	"lose-acks":         loseAcknowledgements,

	"cut-core-meet":      faultWithTableChanges("cut-core", 1),
	"cut-core-race":      faultWithTableChanges("cut-core", 2),
	"cut-leader-race":    faultWithTableChanges("cut-leader", 2),
	"cut-core-out-meet":  faultWithTableChanges("cut-core-out", 1),
	"freeze-leader-race": faultWithTableChanges("freeze-leader", 2),
	"kill-leader-meet":   faultWithTableChanges("kill-leader", 1),
	"turn-seeds":         changeSeeds,
	burstFaultName:       burst,

	"kill-after-ack":     faultAfterAcknowledgement(history.TableAcknowledged, powerLossFault(leaderOnly)),
	"kill-after-accept":  faultAfterAcknowledgement(history.JobAccepted, powerLossFault(leaderOnly)),
	"kill-after-send":    faultDuringTableChange(powerLossFault(leaderOnly)),
	"wipe-after-ack":     faultAfterAcknowledgement(history.TableAcknowledged, loseLeaderDisk),
	"wipe-after-send":    faultDuringTableChange(loseLeaderDisk),
	"wipe-oldest":        diskLossFault((*Run).oldestController, (*Run).loseDisk),
	"power-after-accept": faultAfterAcknowledgement(history.JobAccepted, powerLossFault(allControllers)),
	"power-after-ack":    faultAfterAcknowledgement(history.TableAcknowledged, powerLossFault(allDaemons)),
	"kill-herd":          powerLossFault(sampleDisklessDaemons),

	"roll-controllers": rollingRestartFault(allControllers),
	"roll-gateways":    rollingRestartFault(allGateways),
	"replace-planned":  replacePlanned,
	"fill-disk":        fillDisk,
	"fill-leader-disk": leaderFault(fillLeaderDisk),
	"jump-clocks":      stepClocks,
}

// loseLeaderDisk wipes the leader's disk.
var loseLeaderDisk = diskLossFault((*Run).leader, (*Run).loseDisk)

// InvokedFaults are the faults of deployments whose workers are invoked.
var InvokedFaults = map[string]Fault{
	"crash-silent":  crashFault(crash{}),
	"crash-refuse":  crashFault(crash{refusesConnections: true}),
	"crash-forever": crashFault(crash{permanent: true}),
	"kill-worker":   crashFault(crash{refusesConnections: true}),
	"kill-machine":  killInvokedMachine,
	"restart-agent": restartAgent,

	"sick-worker": invokedWorkerFault(
		func(i *world.InvokedNode) { i.Worker.Unhealthy = true },
		func(i *world.InvokedNode) { i.Worker.Unhealthy = false },
	),
	"still-worker": invokedWorkerFault(
		func(i *world.InvokedNode) { i.Worker.Stalled = true },
		func(i *world.InvokedNode) { i.Worker.Stalled = false },
	),
	"hang-worker": invokedWorkerFault(
		func(i *world.InvokedNode) { i.Hangs = true },
		func(i *world.InvokedNode) { i.Hangs = false },
	),
	"slow-worker": invokedWorkerFault(
		func(i *world.InvokedNode) { i.Worker.Slowdown = 6.5 },
		func(i *world.InvokedNode) { i.Worker.Slowdown = max(1, i.Spec.Slowdown) },
	),
	"failing-worker": invokedWorkerFault(
		func(i *world.InvokedNode) { i.Worker.FailureRate = 0.4 },
		func(i *world.InvokedNode) { i.Worker.FailureRate = i.Spec.FailureRate },
	),
	"late-beats": invokedWorkerFault(
		func(i *world.InvokedNode) { i.LateHeartbeatRate = lateHeartbeatRate },
		func(i *world.InvokedNode) { i.LateHeartbeatRate = 0 },
	),
	"late-worker": invokedWorkerFault(
		func(i *world.InvokedNode) { i.LateCallRate = lateCallRate },
		func(i *world.InvokedNode) { i.LateCallRate = 0 },
	),
	"late-orders": delayAllCalls,

	"notice-worker": departureFault(longNotice),
	"spot-worker":   departureFault(spotNotice),
	"lure-workers":  leaderFault(partitionAgentsWithLeader),
	"drain-worker":  drainWorker,

	"cut-worker":     partitionFault(invokedWorkerFromAll),
	"cut-worker-in":  oneWayPartitionFault(reversed(invokedWorkerFromAll)),
	"cut-worker-out": oneWayPartitionFault(invokedWorkerFromAll),
}

// pollingOnly are the Faults that workers which are invoked can't have.
var pollingOnly = map[string]bool{
	"freeze-worker":  true,
	"freeze-machine": true,
	"leave-worker":   true,
	"remove-worker":  true,
	"stall-worker":   true,
}
