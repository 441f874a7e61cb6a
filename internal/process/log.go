// This file exists so that all processes log in one form.

package process

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

func newEncoder() zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	return zapcore.NewJSONEncoder(config)
}

func newCore(encoder zapcore.Encoder, sink io.Writer, level zapcore.LevelEnabler) zapcore.Core {
	return zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(sink)), level)
}
