package quorum

import (
	"context"
	"fmt"
	"log/slog"
)

// raftLogger writes raft's warnings and errors to the program's log, at levels Debug and Warn. It drops raft's debug
// and info messages, which are of no use to operators.
type raftLogger struct{ log *slog.Logger }

func (raftLogger) Debug(...any)                  {}
func (raftLogger) Debugf(string, ...any)         {}
func (raftLogger) Info(...any)                   {}
func (raftLogger) Infof(string, ...any)          {}
func (q raftLogger) Warning(v ...any)            { q.write(slog.LevelDebug, fmt.Sprint(v...)) }
func (q raftLogger) Warningf(f string, v ...any) { q.write(slog.LevelDebug, fmt.Sprintf(f, v...)) }
func (q raftLogger) Error(v ...any)              { q.write(slog.LevelWarn, fmt.Sprint(v...)) }
func (q raftLogger) Errorf(f string, v ...any)   { q.write(slog.LevelWarn, fmt.Sprintf(f, v...)) }
func (q raftLogger) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (q raftLogger) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (q raftLogger) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (q raftLogger) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (q raftLogger) write(l slog.Level, text string) {
	q.log.Log(context.Background(), l, "raft: "+text)
}
