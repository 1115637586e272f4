package wigeontelemetry

import (
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"go.uber.org/zap"
	"go.uber.org/zap/zapio"
)

// RedirectHertz makes warnings of the HTTP library, which logs through one global logger, lines of this logger.
func RedirectHertz(logger *zap.Logger) {
	hlog.SetOutput(&zapio.Writer{Log: logger, Level: zap.WarnLevel})
	hlog.SetLevel(hlog.LevelWarn)
}
