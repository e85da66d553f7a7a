package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Callers of the case: each reads its answer in less than its time budget.
const (
	stopInstances = 2
	stopEndpoints = 8
	stopCallers   = 12
	stopBytes     = 4_000_000
	stopRate      = 720_000 // bytes a second
	sendInterval  = 200 * time.Millisecond
)

// playStop stops an instance while callers send downloads to it on connections that they keep, and read the answers at a steady rate. The
// rule is broken if one of the answers ends early.
func playStop(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r, layout{
		instances: stopInstances, endpoints: stopEndpoints, answerBytes: stopBytes, machine: machine{memoryMB: 536, descriptors: 8192, cores: 0.8},
	})
	if err != nil {
		return false, err
	}
	defer d.close()
	n := d.instances[0]
	callers := make([]*caller, stopCallers)
	for i := range callers {
		if callers[i], err = dial(r, n, stopRate); err != nil {
			return false, err
		}
		defer callers[i].close()
	}
	if trouble {
		r.printf("SIGTERM to %s", n.name)
		n.signal(syscall.SIGTERM)
		killed := time.AfterFunc(graceTime, func() { n.signal(syscall.SIGKILL) })
		defer killed.Stop()
	}
	cut := make([]bool, stopCallers)
	var calls sync.WaitGroup
	for i, c := range callers {
		calls.Go(func() {
			time.Sleep(time.Duration(i) * sendInterval)
			id := fmt.Sprintf("d%d", i)
			sent := time.Now()
			if c.send(id) != nil {
				return // the connection was closed before the request was read
			}
			a := c.receive(id, sent)
			cut[i] = a.status != 0 && !a.complete && time.Since(sent) < timeBudget
		})
	}
	calls.Wait()
	broken := 0
	for i := range cut {
		if cut[i] {
			broken++
		}
	}
	r.printf("%d of %d answers ended early", broken, stopCallers)
	return broken > 0, nil
}
