package wigeonfake

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonplatform"
)

// registerControlRoutes registers the control endpoint.
func (s *PlatformServer) registerControlRoutes(engine *server.Hertz) {
	control := engine.Group("/control")
	control.GET("/faults", func(_ context.Context, c *app.RequestContext) {
		writeJSON(c, http.StatusOK, faultsToJSON(s.Platform.Faults()))
	})
	control.PUT("/faults", func(_ context.Context, c *app.RequestContext) {
		s.setFaults(c, faultsJSON{})
	})
	control.PATCH("/faults", func(_ context.Context, c *app.RequestContext) {
		s.setFaults(c, faultsToJSON(s.Platform.Faults()))
	})
	control.PUT("/cut/:client", func(_ context.Context, c *app.RequestContext) {
		s.Platform.SetDisconnected(c.Param("client"), true)
		c.Status(http.StatusNoContent)
	})
	control.DELETE("/cut/:client", func(_ context.Context, c *app.RequestContext) {
		s.Platform.SetDisconnected(c.Param("client"), false)
		c.Status(http.StatusNoContent)
	})
	control.GET("/vms", func(_ context.Context, c *app.RequestContext) {
		writeJSON(c, http.StatusOK, s.Platform.VMs())
	})
	control.POST("/vms", s.addVM)
	control.DELETE("/vms/:id", func(_ context.Context, c *app.RequestContext) {
		writeFound(c, s.Platform.RemoveVM(wigeonstep.VMID(c.Param("id"))))
	})
	control.PUT("/vms/:id/:state", s.setVMState)
}

// setFaults sets the faults to those of the request body. Fields that the body lacks keep the given values.
func (s *PlatformServer) setFaults(c *app.RequestContext, faults faultsJSON) {
	if !decodeBody(c, &faults) {
		return
	}
	s.Platform.SetFaults(faults.faults())
	c.Status(http.StatusNoContent)
}

func (s *PlatformServer) addVM(_ context.Context, c *app.RequestContext) {
	var vm wigeonstep.ListedVM
	if !decodeBody(c, &vm) {
		return
	}
	if vm.ID == "" {
		writeJSON(c, http.StatusBadRequest, wigeonplatform.ErrorResponse{Reason: "the VM has no id"})
		return
	}
	s.Platform.AddVM(vm)
	c.Status(http.StatusNoContent)
}

func (s *PlatformServer) setVMState(_ context.Context, c *app.RequestContext) {
	id := wigeonstep.VMID(c.Param("id"))
	switch c.Param("state") {
	case "up":
		writeFound(c, s.Platform.SetVMUp(id, true))
	case "down":
		writeFound(c, s.Platform.SetVMUp(id, false))
	case "leaving":
		writeFound(c, s.Platform.SetVMLeaving(id, true))
	case "staying":
		writeFound(c, s.Platform.SetVMLeaving(id, false))
	default:
		writeJSON(c, http.StatusNotFound, wigeonplatform.ErrorResponse{Reason: "the states are up, down, leaving and staying"})
	}
}

// decodeBody decodes the request body. If it is invalid, decodeBody answers with status 400 and returns false.
func decodeBody(c *app.RequestContext, value any) bool {
	if err := decodeJSON(c.Request.Body(), value); err != nil {
		writeJSON(c, http.StatusBadRequest, wigeonplatform.ErrorResponse{Reason: err.Error()})
		return false
	}
	return true
}

// writeFound answers a request about a VM with status 204, or 404 if the VM was not found.
func writeFound(c *app.RequestContext, found bool) {
	if !found {
		writeJSON(c, http.StatusNotFound, wigeonplatform.ErrorResponse{Reason: "no such VM"})
		return
	}
	c.Status(http.StatusNoContent)
}

// faultsJSON is the JSON form of Faults at the control endpoint. Durations are in milliseconds.
type faultsJSON struct {
	LogDown               bool    `json:"log_down"`
	LogDelayMS            int64   `json:"log_delay_ms"`
	LogDelayJitterMS      int64   `json:"log_delay_jitter_ms"`
	AppendsPerSecond      int     `json:"appends_per_second"`
	LoseAppendAnswers     float64 `json:"lose_append_answers"`
	LoseNextAppendAnswers int     `json:"lose_next_append_answers"`
	RetainRecords         int     `json:"retain_records"`
	RetainAgeMS           int64   `json:"retain_age_ms"`
	VMsDown               bool    `json:"vms_down"`
	ListLagMS             int64   `json:"list_lag_ms"`
	ListStale             bool    `json:"list_stale"`
	ListEmpty             bool    `json:"list_empty"`
	RebootTimeMS          int64   `json:"reboot_time_ms"`
	RebootLossProbability float64 `json:"never_back"`
}

func faultsToJSON(f Faults) faultsJSON {
	return faultsJSON{
		LogDown:               f.LogUnavailable,
		LogDelayMS:            f.LogDelay.Milliseconds(),
		LogDelayJitterMS:      f.LogDelayJitter.Milliseconds(),
		AppendsPerSecond:      f.AppendsPerSecond,
		LoseAppendAnswers:     f.LoseAppendAnswerProbability,
		LoseNextAppendAnswers: f.LoseNextAppendAnswers,
		RetainRecords:         f.RetainRecords,
		RetainAgeMS:           f.RetainAge.Milliseconds(),
		VMsDown:               f.VMServiceUnavailable,
		ListLagMS:             f.VMListLag.Milliseconds(),
		ListStale:             f.VMListFrozen,
		ListEmpty:             f.VMListEmpty,
		RebootTimeMS:          f.RebootTime.Milliseconds(),
		RebootLossProbability: f.RebootLossProbability,
	}
}

func (j faultsJSON) faults() Faults {
	return Faults{
		LogUnavailable:              j.LogDown,
		LogDelay:                    milliseconds(j.LogDelayMS),
		LogDelayJitter:              milliseconds(j.LogDelayJitterMS),
		AppendsPerSecond:            j.AppendsPerSecond,
		LoseAppendAnswerProbability: j.LoseAppendAnswers,
		LoseNextAppendAnswers:       j.LoseNextAppendAnswers,
		RetainRecords:               j.RetainRecords,
		RetainAge:                   milliseconds(j.RetainAgeMS),
		VMServiceUnavailable:        j.VMsDown,
		VMListLag:                   milliseconds(j.ListLagMS),
		VMListFrozen:                j.ListStale,
		VMListEmpty:                 j.ListEmpty,
		RebootTime:                  milliseconds(j.RebootTimeMS),
		RebootLossProbability:       j.RebootLossProbability,
	}
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
