package settings

import (
	"fmt"
	"net/netip"

	"coppercourse/internal/apierror"
	"coppercourse/internal/config"
	"coppercourse/internal/membership"
)

// Validate checks the settings for a role and adds all errors to errs. If Address is missing, it
// is set to Listen.
func (s *Settings) Validate(role membership.Role, errs *apierror.ErrorList) {
	if s.Address == "" {
		s.Address = s.Listen
	}
	s.validateOwnAddrs(errs)
	reason := config.CheckName(s.Zone)
	errs.Check(reason == "", "locality", reason)
	s.validatePeerAddrs(errs)
	s.validateRole(role, errs)
	errs.Check(s.Log == "info" || s.Log == "debug", "log", "want info or debug")
	s.Timeouts.validate(errs)
	s.Bounds.validate(s.Timeouts, errs)
}

func (s *Settings) validateOwnAddrs(errs *apierror.ErrorList) {
	checkAddr("listen", s.Listen, errs)
	checkAddr("address", s.Address, errs)
	if s.Source != "" {
		_, err := netip.ParseAddr(s.Source)
		errs.Check(err == nil, "source", "want an IP number")
	}
}

func (s *Settings) validatePeerAddrs(errs *apierror.ErrorList) {
	errs.Check(len(s.Seeds) > 0, "seeds", "missing: give the addresses of up to three other daemons")
	for i, addr := range s.Seeds {
		checkAddr(fmt.Sprintf("seeds[%d]", i), addr, errs)
	}
	for i, addr := range s.Founders {
		checkAddr(fmt.Sprintf("founders[%d]", i), addr, errs)
	}
}

// validateRole checks the settings that are specific to one role.
func (s *Settings) validateRole(role membership.Role, errs *apierror.ErrorList) {
	errs.Check((s.Data != "") == (role == membership.RoleController), "data",
		"a controller needs a data folder, and no other daemon may have one")
	if role == membership.RoleAgent {
		reason := config.CheckName(s.Shard)
		errs.Check(reason == "", "shard", reason)
	} else {
		errs.Check(s.Shard == "", "shard", "only an agent has one")
	}
}

func checkAddr(field, addr string, errs *apierror.ErrorList) {
	parsed, err := netip.ParseAddrPort(addr)
	errs.Check(err == nil && parsed.Port() != 0, field, fmt.Sprintf("want IP:port, got %q", addr))
}
