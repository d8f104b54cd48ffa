package wire

import (
	"encoding/json"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// ForwardedRequest is the body of a ForwardRequest: a client's request that a gateway forwards to a
// controller, normally the leader.
type ForwardedRequest struct {
	ID   uint64 `json:"id"` // assigned by the gateway
	Verb Verb   `json:"verb"`
	Arg  string `json:"arg,omitempty"`
	// Tenant is the tenant that the request's key belongs to; empty for a request without a key.
	Tenant types.TenantName `json:"tenant,omitempty"`
	Body   json.RawMessage  `json:"body,omitempty"`
}

// ForwardedReply is the body of a ForwardReply: the response to a forwarded request.
type ForwardedReply struct {
	ID         uint64          `json:"id"` // of the request
	StatusCode int             `json:"code"`
	Body       json.RawMessage `json:"body,omitempty"`
	Error      *apierror.Error `json:"fault,omitempty"`
	Leader     types.Addr      `json:"lead,omitempty"`
	NotLeader  bool            `json:"away,omitempty"` // the sender is not the leader; Leader is its hint, if any
	// Final means that Error applies to all copies of the request that have been or will be sent to
	// the sender: it has accepted none of them and will accept none.
	Final bool `json:"final,omitempty"`
}
