package wigeontelemetry

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const plainText = "text/plain; charset=utf-8"

// Admin serves /metrics, /healthz and /readyz for one process.
type Admin struct {
	// Metrics is the set that /metrics writes, followed by the metrics of the process and the Go runtime. If Metrics is
	// nil, /metrics writes only the latter.
	Metrics *metrics.Set
	// Ready decides the status of /readyz: 200 if it returns true, else 503; nil means always ready.
	Ready func() bool
}

// Serve serves on the listener until ctx ends, and then shuts down within a second.
func (a *Admin) Serve(ctx context.Context, listener net.Listener) error {
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		// Shutdown waits for connections to close, at most for this time. Idle keep-alive connections stay open, so a
		// longer wait would only delay the end of the process.
		server.WithExitWaitTime(100*time.Millisecond),
	)
	h.GET("/metrics", a.metrics)
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok\n") })
	h.GET("/readyz", a.ready)
	done := make(chan error, 1)
	go func() { done <- h.Run() }()
	select {
	case err := <-done:
		return fmt.Errorf("serve admin endpoints %s: %w", listener.Addr(), err)
	case <-ctx.Done():
		shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return h.Shutdown(shutdownCtx)
	}
}

func (a *Admin) metrics(_ context.Context, c *app.RequestContext) {
	var b bytes.Buffer
	if a.Metrics != nil {
		a.Metrics.WritePrometheus(&b)
	}
	metrics.WriteProcessMetrics(&b)
	c.Data(http.StatusOK, plainText, b.Bytes())
}

func (a *Admin) ready(_ context.Context, c *app.RequestContext) {
	if a.Ready == nil || a.Ready() {
		c.String(http.StatusOK, "ready\n")
		return
	}
	c.String(http.StatusServiceUnavailable, "not ready\n")
}
