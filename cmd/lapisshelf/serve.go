package main

import (
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"lapisshelf/internal/loop"
	"lapisshelf/internal/node"
	"lapisshelf/internal/operator"
)

// serve runs a node until SIGTERM or SIGINT. An empty file means that there is no operator's file.
func serve(file string) error {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	lines := newLogWriter(os.Stderr)
	log.SetOutput(lines)
	defer lines.Close()
	// Handlers are installed first, because an unhandled SIGHUP ends the program. Shutdown signals have a channel of their own,
	// so that a burst of other signals cannot displace them. Reloads have one too; one pending signal is enough, since the file
	// is read when the signal is handled.
	shutdowns, reloads, dumps := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(shutdowns, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Notify(dumps, syscall.SIGUSR1)
	cfg, err := configure(file)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(2) // on one core: one for the event loop, one for the garbage collector and the runtime
	l, err := loop.New()
	if err != nil {
		return err
	}
	n, err := node.New(cfg, l)
	if err != nil {
		return err
	}
	n.OnMemoryLimit(setMemoryLimit)
	log.Printf("event=start name=%s listen=%s list=%s memory_mb=%d sockets=%d", cfg.Name, cfg.Listen, cfg.Registry.Endpoints,
		cfg.MemoryMB, cfg.Sockets)
	go func() {
		<-shutdowns
		l.Post(n.Shutdown)
	}()
	go func() {
		for range reloads {
			cfg, err := configure(file) // off the event loop, so that a slow disk does not block it
			l.Post(func() { n.Reload(cfg, err) })
		}
	}()
	go func() {
		for range dumps {
			l.Post(n.LogCounters)
		}
	}()
	err = l.Run()
	n.LogCounters()
	return err
}

// configure reads the operator's file, if any, and the platform's configuration, and logs a warning if the fleet is too large for
// its permitted rate of registry calls.
func configure(file string) (node.Config, error) {
	var op *operator.File
	if file != "" {
		var err error
		if op, err = operator.Read(file); err != nil {
			return node.Config{}, err
		}
	}
	cfg, err := node.ReadConfig(os.Getenv, op)
	if err == nil {
		if warning := fleetSizeWarning(&cfg, os.Getenv("EDGE_CONFIG"), op); warning != nil {
			log.Printf("event=list_too_slow why=%q", warning)
		}
	}
	return cfg, err
}

// setMemoryLimit sets the runtime's soft limit to two thirds of the limit at which the process is killed, so that the garbage
// collector runs more often well before that.
func setMemoryLimit(mb int) { debug.SetMemoryLimit(int64(mb) << 20 * 2 / 3) }
