package controller

import (
	"coppercourse/internal/membership"
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// gatewayFanout is the number of gateways that relay a report at once.
const gatewayFanout = 2

// forwardReports passes buffered reports to this controller's own scheduler if it leads, otherwise
// to the leader. Agents resend their reports to the leader themselves, so other controllers forward
// a report only after UnhealthyAfter; otherwise an overloaded leader would receive each report from
// every controller.
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

// forwardReport sends a report to the leader. If no leader is known, or an earlier forward had no
// effect, it also relays the report through gatewayFanout gateways, different ones each time, as a
// partition may separate this controller from the leader only.
func (c *Controller) forwardReport(report wire.OutboundMessage, leader types.Addr, earlierForwards int) {
	if leader != "" {
		c.outbox.send(report)
		if earlierForwards == 0 {
			return
		}
	}
	gateways := c.members.MembersOf(membership.RoleGateway)
	for i := range min(gatewayFanout, len(gateways)) {
		to := gateways[(gatewayFanout*earlierForwards+i)%len(gateways)].Addr
		c.outbox.send(wire.OutboundMessage{To: to, Message: report.Message})
	}
}
