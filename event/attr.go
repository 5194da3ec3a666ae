package event

import (
	"log/slog"
	"time"
)

// Milliseconds returns an attribute with a duration in whole milliseconds.
func Milliseconds(key string, d time.Duration) slog.Attr {
	return slog.Int64(key, d.Milliseconds())
}
