package wigeonsoak

import (
	"context"
	"net"
	"os/exec"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a process that finds its address in use, because a process that was forked while the soak looked for free
// addresses still holds it.
func TestFreeAddressesStayFreeWhileProcessesStart(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	t.Cleanup(func() {
		cancel()
		<-done
	})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			c := exec.Command("true")
			if startCommand(c) == nil {
				_ = c.Wait()
			}
		}
	}()
	for range 400 {
		addresses, err := freeAddresses(loopbackIP(0, 200), 4)
		qt.Assert(t, err, qt.IsNil)
		for _, address := range addresses {
			l, err := net.Listen("tcp", address)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, l.Close(), qt.IsNil)
		}
		time.Sleep(time.Millisecond)
	}
}
