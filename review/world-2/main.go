package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(*World, bool){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: world CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	cfg := configs[os.Args[1]]()
	w := newWorld(cfg, os.Args[2], os.Args[3])
	trouble := os.Getenv("TROUBLE") != "0"
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.fatal("ended from outside")
	}()
	time.AfterFunc(118*time.Second, func() { w.fatal("the run takes too long") })
	w.log("case %s, trouble %v", os.Args[1], trouble)
	run(w, trouble)
	w.finish()
}

var configs = map[string]func() *Config{}
