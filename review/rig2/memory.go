package main

import (
	"fmt"
	"sync"
	"time"
)

// The crowd of the case: callers that send further downloads before the first is answered.
const (
	memoryInstances = 3
	memoryEndpoints = 90
	crowdInstances  = 2 // the instances to which the crowd connects
	crowd           = 100
	sentAhead       = 8
	downloadBytes   = 540_000
	waves           = 4
)

// What the rule on faults calls too much: how often the processes of one machine end by themselves, and the number of such machines.
const (
	endsToBreak       = 3
	minBrokenMachines = 2
)

// Times of the platform's stand-in.
const (
	memoryInterval = 2 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
)

// guard ends the processes of an instance that exceed the memory of the machine, and starts them again.
type guard struct {
	instance *instance
	limit    int64 // bytes
	stop     chan struct{}
	stopped  sync.WaitGroup

	highest int64 // bytes
	ends    int
}

func startGuard(n *instance, m machine) *guard {
	g := &guard{instance: n, limit: int64(m.memoryMB) << 20, stop: make(chan struct{})}
	g.stopped.Go(g.watch)
	return g
}

func (g *guard) watch() {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-g.stop:
			return
		}
		used := g.instance.memory()
		g.highest = max(g.highest, used)
		if used <= g.limit {
			continue
		}
		g.ends++
		g.instance.record.printf("%s: memory of %d bytes exceeds the limit of %d; the platform ends the process", g.instance.name, used, g.limit)
		g.instance.end()
		time.Sleep(restartDelay)
		if err := g.instance.start(); err != nil {
			g.instance.record.printf("%s: %v", g.instance.name, err)
			return
		}
	}
}

// end stops the guard. The counts may be read afterwards.
func (g *guard) end() {
	close(g.stop)
	g.stopped.Wait()
}

// playMemory lets a crowd download from two instances in turn, in several waves. The rule is broken if the processes of two machines end three
// times.
func playMemory(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r, layout{
		instances: memoryInstances, endpoints: memoryEndpoints, answerBytes: downloadBytes, machine: smallMachine,
	})
	if err != nil {
		return false, err
	}
	defer d.close()
	var guards []*guard
	for _, n := range d.instances {
		guards = append(guards, startGuard(n, smallMachine))
	}
	for wave := range waves {
		for _, n := range d.instances[:crowdInstances] {
			playWave(r, n, wave, trouble)
		}
	}
	broken := 0
	for _, g := range guards {
		g.end()
		r.printf("%s: highest memory %.1f MB of %d MB, ended %d times", g.instance.name, float64(g.highest)/(1<<20), smallMachine.memoryMB, g.ends)
		if g.ends >= endsToBreak {
			broken++
		}
	}
	return broken >= minBrokenMachines, nil
}

func playWave(r *record, n *instance, wave int, trouble bool) {
	if !n.awaitReady(readyTimeout) {
		r.printf("%s is not ready", n.name)
		return
	}
	var calls sync.WaitGroup
	for i := range crowd {
		calls.Go(func() { download(r, n, fmt.Sprintf("w%d-%s-c%d", wave, n.name, i), trouble) })
	}
	calls.Wait()
}

// download sends the requests of one caller. Without trouble each is sent after the answer to the one before, and is read at once.
func download(r *record, n *instance, name string, trouble bool) {
	c, err := dial(r, n, asTheyCome)
	if err != nil {
		r.printf("%s: %v", name, err)
		return
	}
	defer c.close()
	sent := time.Now()
	if trouble {
		for i := range sentAhead {
			if c.send(fmt.Sprintf("%s-%d", name, i)) != nil {
				return
			}
		}
	}
	for i := range sentAhead {
		id := fmt.Sprintf("%s-%d", name, i)
		if !trouble {
			sent = time.Now()
			if c.send(id) != nil {
				return
			}
		}
		if a := c.receive(id, sent); !a.complete || a.close {
			return
		}
	}
}
