package wire

import (
	"encoding/json"

	"coppercourse/internal/apierror"
	"coppercourse/internal/types"
)

// ForwardedRequest is the body of a ForwardRequest: a client's request, which a gateway
// sends to the controller that it takes for the leader.
type ForwardedRequest struct {
	ID   uint64 `json:"id"` // the gateway's own number for it
	Verb Verb   `json:"verb"`
	Arg  string `json:"arg,omitempty"`
	// Tenant is whose request it is, by its key; empty for a request without one.
	Tenant types.TenantName `json:"tenant,omitempty"`
	Body   json.RawMessage  `json:"body,omitempty"`
}

// ForwardedReply is the body of a ForwardReply: the response to a forwarded request.
type ForwardedReply struct {
	ID         uint64          `json:"id"` // that of the request
	StatusCode int             `json:"code"`
	Body       json.RawMessage `json:"body,omitempty"`
	Error      *apierror.Error `json:"fault,omitempty"`
	Leader     types.Addr      `json:"lead,omitempty"`
	NotLeader  bool            `json:"away,omitempty"` // the sender does not lead; Leader may
	// Final is set with an Error that holds for all copies of the request that were or will be
	// sent to the sender: none was accepted, and none will be.
	Final bool `json:"final,omitempty"`
}
