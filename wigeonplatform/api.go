package wigeonplatform

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Paths, headers and limits of the API.
const (
	PathLog      = "/v1/log/"
	PathVMs      = "/v1/vms"
	HeaderClient = "Wigeonstep-Client"

	// MaxWait is the longest time that a read may wait for the first record.
	MaxWait = 30 * time.Second
	// MaxPayloadBytes is the size limit of a record. It leaves room for a snapshot chunk of 256 KB and its framing.
	MaxPayloadBytes = 1 << 20
)

// VMAction is the last element of the path of an action on a VM.
type VMAction string

// The actions on VMs.
const (
	ActionDrain      VMAction = "drain"
	ActionReboot     VMAction = "reboot"
	ActionAssign     VMAction = "assign"
	ActionCheckpoint VMAction = "checkpoint"
)

// AppendResponse is the body of the response to an append.
type AppendResponse struct {
	// Offset is never nil in a response of the platform. It is a pointer, so that the JSON body of another server is not
	// read as offset 0.
	Offset *wigeonstep.Offset `json:"offset"`
}

// VMChanges is the body of the response to a request for the VM list.
type VMChanges struct {
	// Token identifies the version of the list after the changes; the next request sends it as since.
	Token string `json:"token"`
	// Age is the age of the list when the platform sent it.
	Age time.Duration `json:"age_ns"`
	// Full is set when VMs is the complete list, and unset when VMs and Removed are the changes since the token of the
	// request.
	Full    bool                  `json:"full"`
	VMs     []wigeonstep.ListedVM `json:"vms"`
	Removed []wigeonstep.VMID     `json:"removed"`
	Pools   []wigeonstep.PoolName `json:"pools"`
}

// VMRequest is the body of an action on a VM.
type VMRequest struct {
	VM    wigeonstep.VMID    `json:"vm"`
	Epoch wigeonstep.VMEpoch `json:"epoch"`
	// Pool is set only for ActionAssign.
	Pool wigeonstep.PoolName `json:"pool,omitempty"`
}

// ErrorResponse is the body of a response with an error status.
type ErrorResponse struct {
	Reason string `json:"reason"`
	// First is the oldest offset retained and Next the offset of the next append; both are set only for status 410.
	First wigeonstep.Offset `json:"first,omitempty"`
	Next  wigeonstep.Offset `json:"next,omitempty"`
}
