package wigeonfake_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
)

// Guards against valid control requests without an effect, and against invalid ones that are accepted.
func TestPlatformControl(t *testing.T) {
	server := &wigeonfake.PlatformServer{Platform: &wigeonfake.Platform{}}
	qt.Assert(t, server.Start("127.0.0.1:0"), qt.IsNil)
	t.Cleanup(server.Close)
	do := func(method, path, body string) (int, string) {
		request, err := http.NewRequest(method, "http://"+server.Address()+"/control/"+path, strings.NewReader(body))
		qt.Assert(t, err, qt.IsNil)
		response, err := http.DefaultClient.Do(request)
		qt.Assert(t, err, qt.IsNil)
		defer response.Body.Close()
		read, err := io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		return response.StatusCode, string(read)
	}
	for _, test := range []struct {
		method, path, body string
		status             int
	}{
		{"PUT", "faults", `{"log_delay_ms": 250, "list_stale": true}`, 204},
		{"PATCH", "faults", `{"list_lag_ms": 40}`, 204},
		{"PATCH", "faults", `{"log_delay": 250}`, 400},
		{"POST", "vms", `{"id": "a1", "pool": "wax"}`, 204},
		{"POST", "vms", `{"pool": "wax"}`, 400},
		{"PUT", "vms/a1/down", "", 204},
		{"PUT", "vms/a1/sideways", "", 404},
		{"PUT", "vms/a2/down", "", 404},
		{"PUT", "cut/entry-1", "", 204},
		{"DELETE", "cut/entry-1", "", 204},
		{"GET", "nothing", "", 404},
	} {
		status, body := do(test.method, test.path, test.body)
		qt.Assert(t, status, qt.Equals, test.status, qt.Commentf("%s %s: %s", test.method, test.path, body))
	}
	qt.Assert(t, server.Platform.Faults(), qt.Equals, wigeonfake.Faults{LogDelay: 250 * time.Millisecond, VMListFrozen: true, VMListLag: 40 * time.Millisecond})
	state, _ := server.Platform.VM("a1")
	qt.Assert(t, state.Up, qt.IsFalse)
	_, body := do("GET", "vms", "")
	qt.Assert(t, body, qt.Contains, `"id":"a1"`)
	status, _ := do("DELETE", "vms/a1", "")
	qt.Assert(t, status, qt.Equals, 204)
	_, found := server.Platform.VM(wigeonstep.VMID("a1"))
	qt.Assert(t, found, qt.IsFalse)
}
