// Command monsoonctl is the command line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/monsoonthread/monsoonthread/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Main(ctx, ctl.Env{Args: os.Args[1:], In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv})
	stop()
	os.Exit(code)
}
