package controller

import (
	"coppercourse/internal/membership"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// gatewayFanout is through how many gateways a report is forwarded at once.
const gatewayFanout = 2

// forwardReports passes the buffered reports to this controller's own scheduler, if it
// leads, or else to the leader. The agent itself repeats a report to the leader, so others
// forward it only after a while, so that an overloaded leader does not receive each report
// from every controller.
func (c *Controller) forwardReports() {
	c.reports.prune(c.now.Mono, c.log.state())
	if c.leader.active() {
		for _, report := range c.reports.takeDue(c.now.Mono, c.options.DispatchTimeouts.RetryInterval) {
			c.leader.handleMessage(c.now.Mono, report.message(c.options.Addr).Message)
		}
		return
	}
	leader := c.raft.LeaderAddr()
	for _, report := range c.reports.takeDue(c.now.Mono, c.options.DispatchTimeouts.UnhealthyAfter) {
		c.forwardReport(report.message(leader), leader, report.forwards)
		report.forwards++
	}
}

// forwardReport sends a report to the leader and, if none is known or that did not help,
// through a few gateways, others each time: this controller may be cut off from the leader
// alone.
func (c *Controller) forwardReport(report wire.OutboundMessage, leader types.Addr, earlier int) {
	if leader != "" {
		c.outbox.send(report)
		if earlier == 0 {
			return
		}
	}
	gateways := c.members.MembersOf(membership.RoleGateway)
	for i := range min(gatewayFanout, len(gateways)) {
		to := gateways[(gatewayFanout*earlier+i)%len(gateways)].Addr
		c.outbox.send(wire.OutboundMessage{To: to, Message: report.Message})
	}
}
