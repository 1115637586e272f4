// Package wigeontelemetry provides loggers and the HTTP endpoints for metrics and health checks.
package wigeontelemetry

import (
	"fmt"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes each event at or above the level as one logfmt line (key=value).
func NewLogger(w io.Writer, level string) (*zap.Logger, error) {
	threshold, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("parse log level: %w", err)
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.MessageKey = "event"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(zapcore.AddSync(w)), threshold)
	return zap.New(core), nil
}
