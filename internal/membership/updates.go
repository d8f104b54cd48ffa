package membership

import (
	"slices"
	"time"

	"coppercourse/internal/types"
)

// mergeOwnInfo takes what a daemon says of itself. A version below the known one is an
// old message, or from a new process at its address: the known version is returned, so that
// the daemon, if it does not know of that, can go beyond it.
func (ml *MemberList) mergeOwnInfo(info MemberInfo) (knownVersion uint64) {
	e := ml.table.entries[info.Addr]
	switch {
	case e != nil && info.Version != 0 && info.Version < e.info.Version:
		return e.info.Version
	case e != nil && info.Version == e.info.Version && info.Version != 0 && !ml.inOtherCluster(info):
		ml.table.replace(e, info)
	default:
		ml.mergePeer(Peer{MemberInfo: info})
	}
	if e = ml.table.entries[info.Addr]; e != nil {
		ml.recordDirectContact(e)
	}
	return 0
}

// update takes what anyone says of a daemon.
func (ml *MemberList) mergePeer(peer Peer) {
	heardAt := ml.timeFromAge(peer.AgeMS)
	if !ml.isEligible(peer.MemberInfo) || ml.now.Sub(heardAt) > ExpireAfter {
		return
	}
	e := ml.table.entries[peer.Addr]
	switch {
	case e == nil && !ml.admit(peer.MemberInfo):
		return
	case e == nil:
		e = ml.table.add(peer.MemberInfo)
		ml.logChange(e)
	case peer.supersedes(e.info):
		ml.table.replace(e, peer.MemberInfo)
		ml.logChange(e)
	}
	if peer.Version == e.info.Version {
		ml.table.recordContact(e, heardAt)
	}
}

// supersedes reports whether what is said of a daemon is newer than what is known. Without a
// version it is, if it comes from the daemon itself.
func (p Peer) supersedes(known MemberInfo) bool {
	if p.Version == 0 {
		return p.AgeMS == 0 && p.MemberInfo != known
	}
	return p.Version > known.Version
}

// concerns reports whether a daemon belongs in the list: another one, of this cluster.
func (ml *MemberList) isEligible(info MemberInfo) bool {
	return info.Addr != ml.self.Addr && info.Addr != "" && !ml.inOtherCluster(info)
}

// inOtherCluster reports whether a daemon belongs to another cluster.
func (ml *MemberList) inOtherCluster(info MemberInfo) bool {
	return info.ClusterName != "" && ml.self.ClusterName != "" && info.ClusterName != ml.self.ClusterName
}

// recordDirectContact records that this daemon has just heard another one.
func (ml *MemberList) recordDirectContact(e *entry) {
	e.lastDirectContactAt = ml.now
	ml.table.recordContact(e, ml.now)
}

// logChange logs the change of a daemon for those that follow. Nobody follows an agent.
func (ml *MemberList) logChange(e *entry) {
	if ml.keepsFullView() {
		ml.changes.add(e, &ml.table)
	}
}

// admit reports whether a new daemon is kept, and forgets another one if it must be. An
// agent keeps the controllers and a sample of each other kind (sampleKind), without its
// seeds, which all others know too. A new daemon replaces a random one with a chance of one
// half, so that those that are gone are forgotten.
func (ml *MemberList) admit(info MemberInfo) bool {
	if ml.keepsFullView() || info.Role == RoleController {
		return len(ml.table.entries) < maxMembers
	}
	if slices.Contains(ml.seeds, info.Addr) {
		return false
	}
	var same []types.Addr
	for _, addr := range ml.table.order {
		if ml.sampleKind(ml.table.entries[addr].info) == ml.sampleKind(info) {
			same = append(same, addr)
		}
	}
	if len(same) < sampleSize {
		return true
	}
	if ml.rnd.Intn(2) == 0 {
		return false
	}
	ml.table.remove(same[ml.rnd.Intn(len(same))])
	return true
}

// sampleKind returns the kind of daemon that an agent keeps a sample of: a role, or the
// agents of its own zone.
func (ml *MemberList) sampleKind(info MemberInfo) string {
	if info.Role == RoleAgent && info.Zone == ml.self.Zone {
		return "agent of own zone"
	}
	return string(info.Role)
}

// before returns the time so many milliseconds ago.
func (ml *MemberList) timeFromAge(ageMS int64) types.MonoTime {
	return ml.now.Add(-time.Duration(ageMS) * time.Millisecond)
}
