package membership

import (
	"coppercourse/internal/types"
	"coppercourse/internal/wire"
)

// HandleMessage takes a message. It returns true for a hello; any other message shows only
// that its sender lives.
func (ml *MemberList) HandleMessage(now types.MonoTime, message wire.Message) bool {
	ml.now = now
	if message.Kind != wire.Hello {
		ml.recordSender(message)
		return false
	}
	if h, ok := wire.DecodeBody[hello](message); ok {
		ml.handleHello(message.From, h)
	}
	return true
}

// recordSender takes any message as a sign of life of its sender, but for status reports,
// which others may have forwarded. An unknown sender is asked who it is.
func (ml *MemberList) recordSender(message wire.Message) {
	if message.Kind == wire.StatusReport {
		return
	}
	if e := ml.table.entries[message.From]; e != nil {
		ml.recordDirectContact(e)
	} else if ml.keepsFullView() && message.From != ml.self.Addr {
		ml.request(message.From)
	}
}

// handleHello takes what a hello says of its sender and of others, and replies or asks in turn
// where it must.
func (ml *MemberList) handleHello(from types.Addr, h hello) {
	if h.KnownVersion > ml.self.Version { // from an earlier process at this address
		self := ml.self
		self.Version = h.KnownVersion + 1
		ml.replaceSelf(self)
		ml.request(from)
	}
	knownVersion := ml.mergeOwnInfo(h.Self)
	if h.IsReply && from == ml.Leader() {
		ml.ackedVersion = ml.advertisedVersion
	}
	for _, peer := range h.Peers {
		ml.mergePeer(peer)
	}
	ml.mergeAges(h)
	if h.IsReply && h.WantsChanges && from == ml.sync.source {
		ml.applyChanges(h)
	}
	switch {
	case h.WantsReply:
		ml.reply(from, h, knownVersion)
	case knownVersion > 0:
		ml.send(from, hello{Self: ml.self, IsReply: true, KnownVersion: knownVersion})
	case !h.IsReply && ml.digestsDiffer(h):
		ml.request(from)
	}
}

// mergeAges takes when the sender of a hello last heard from controllers and zones.
func (ml *MemberList) mergeAges(h hello) {
	for addr, ageMS := range h.Ages {
		if e := ml.table.entries[addr]; e != nil {
			ml.table.recordContact(e, ml.timeFromAge(ageMS))
		}
	}
	for name, ageMS := range h.ZoneAges {
		if zone := ml.table.zones[name]; zone != nil {
			zone.lastContactAt = max(zone.lastContactAt, ml.timeFromAge(ageMS))
		}
	}
}
