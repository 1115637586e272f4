package wigeontelemetry

import (
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"go.uber.org/zap"
	"go.uber.org/zap/zapio"
)

// RedirectHertz sends log lines of the HTTP library Hertz at level warn or above to logger. All of them are logged at
// level warn, errors too, since the writer receives only the text of a line and not its level. Hertz logs through one
// global logger, so the setting holds for the whole process.
func RedirectHertz(logger *zap.Logger) {
	hlog.SetOutput(&zapio.Writer{Log: logger, Level: zap.WarnLevel})
	hlog.SetLevel(hlog.LevelWarn)
}
