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

// serve runs a node until it is told to end. The operator's file may be none.
func serve(file string) error {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	lines := newLogWriter(os.Stderr)
	log.SetOutput(lines)
	defer lines.Close()
	// From the first moment: a SIGHUP that finds nobody listening ends the program. The end has a channel of its own,
	// so that no crowd of other signals can displace it; so has the change of the configuration: one that waits is enough, since
	// the file is read when it is taken.
	shutdowns, reloads, dumps := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(shutdowns, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Notify(dumps, syscall.SIGUSR1)
	cfg, err := configure(file)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(2) // the loop, and the collector or the runtime's own beside it, on one core
	l, err := loop.New()
	if err != nil {
		return err
	}
	n, err := node.New(cfg, l)
	if err != nil {
		return err
	}
	n.Limit(setMemoryLimit)
	log.Printf("event=start name=%s listen=%s list=%s memory_mb=%d sockets=%d", cfg.Name, cfg.Listen, cfg.Registry.Endpoints,
		cfg.MemoryMB, cfg.Sockets)
	go func() {
		<-shutdowns
		l.Post(n.Shutdown)
	}()
	go func() {
		for range reloads {
			cfg, err := configure(file) // here, so that a slow disk does not stop the loop
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

// configure reads the operator's file, if there is one, and the platform's configuration.
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

// setMemoryLimit has the collector work harder well before the limit at which the program is killed.
func setMemoryLimit(mb int) { debug.SetMemoryLimit(int64(mb) << 20 * 2 / 3) }
