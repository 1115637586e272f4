package wigeonplatform

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// Paths and limits of the API.
const (
	PathLog      = "/v1/log/"
	PathVMs      = "/v1/vms"
	HeaderClient = "Wigeonstep-Client"

	// MaxWait bounds a long poll.
	MaxWait = 30 * time.Second
	// MaxPayloadBytes leaves room for a snapshot chunk of 256 KB and its framing.
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

// AppendAnswer answers an append.
type AppendAnswer struct {
	// Offset is never nil in an answer; a nil one tells that another server answered.
	Offset *wigeonstep.Offset `json:"offset"`
}

// VMChanges answers a request for the VM list.
type VMChanges struct {
	// Token names the list that the changes lead to.
	Token string `json:"token"`
	// Age is how old the list is.
	Age time.Duration `json:"age_ns"`
	// Full is set when VMs is the whole list, and not only the changes since the token of the request.
	Full    bool                  `json:"full"`
	VMs     []wigeonstep.ListedVM `json:"vms"`
	Removed []wigeonstep.VMID     `json:"removed"`
	Pools   []wigeonstep.PoolName `json:"pools"`
}

// VMRequest is the body of an action on a VM.
type VMRequest struct {
	VM    wigeonstep.VMID  `json:"vm"`
	Epoch wigeonstep.Epoch `json:"epoch"`
	// Pool is set only for ActionAssign.
	Pool wigeonstep.PoolName `json:"pool,omitempty"`
}

// Problem is the body of an error.
type Problem struct {
	Reason string `json:"reason"`
	// First and Next are the bounds of the stream for status 410.
	First wigeonstep.Offset `json:"first,omitempty"`
	Next  wigeonstep.Offset `json:"next,omitempty"`
}
