package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Size and times of the case.
const (
	instances    = 3
	owners       = 6
	playTime     = 96 * time.Second
	writerTime   = 4 * time.Second       // for which one other writer writes its entry
	silentTime   = 3 * heartbeat         // after which the platform removes an entry that is not written again
	awayTime     = 2 * time.Second       // from the end of a process to the start of the next one
	lookupPause  = 15 * time.Millisecond // of each caller
	busyTime     = 5 * time.Second       // after which other keys are busy
	busyKeys     = 60
	busyShare    = 0.43 // of the lookups
	callersOfOne = 2    // callers of each instance
)

// What the rule on faults calls too much: how often the processes of one machine end by themselves, and the number of such machines.
const (
	endsToBreak       = 3
	minBrokenMachines = 2
)

// oddName is the beginning of the names under which other writers leave their entries. They are not text: 0xff is in no UTF-8 string.
const oddName = "i-\xff"

// firstOddPort is the port in the first of these entries. No process listens there; each entry has another one.
const firstOddPort = 2

// siteMachine is the machine of the site file sites/zieds-gw.toml.
var siteMachine = machine{memoryMB: 284, descriptors: 4100, cores: 0.32, linkMbps: 1000}

// entryCase is the state of the case.
type entryCase struct {
	*deployment
	stop    chan struct{}
	running sync.WaitGroup

	mu   sync.Mutex
	ends map[string]int // by instance: how often a process ended by itself
}

// playEntry looks keys up, some of which are busy, while other writers leave entries with unreadable names among those of the backend
// servers. The rule is broken if the processes of two machines end by themselves three times.
func playEntry(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r, instances, owners, siteMachine)
	if err != nil {
		return false, err
	}
	defer d.close()
	c := &entryCase{deployment: d, stop: make(chan struct{}), ends: map[string]int{}}
	for _, n := range d.instances {
		c.running.Go(func() { c.restart(n) })
		for i := range callersOfOne {
			c.running.Go(func() { c.call(n, i) })
		}
	}
	if trouble {
		c.running.Go(c.leaveOddEntries)
	}
	time.Sleep(playTime)
	close(c.stop)
	c.running.Wait()
	return c.judge(), nil
}

// leaveOddEntries lets one writer after the other write an entry under a name that cannot be read. The platform removes it when its writer
// is silent.
func (c *entryCase) leaveOddEntries() {
	for i := 0; c.pause(heartbeat); i++ {
		name, born, last := fmt.Sprintf("%s%d", oddName, i), time.Now().UnixMilli(), time.Now().Add(writerTime)
		c.record.printf("another writer leaves an entry under the name %q", name)
		for sequence := 1; time.Now().Before(last); sequence++ {
			raw, err := encodeEntry(fmt.Sprintf("127.0.0.1:%d", firstOddPort+i), born, sequence)
			if err != nil {
				return
			}
			c.store.Put(topicServers, name, raw)
			if !c.pause(heartbeat) {
				return
			}
		}
		time.AfterFunc(silentTime, func() { c.store.Put(topicServers, name, nil) })
	}
}

// restart starts the instance again when its process has ended by itself, as the platform does.
func (c *entryCase) restart(n *instance) {
	for {
		_, exited := n.process()
		select {
		case <-c.stop:
			return
		case <-exited:
		}
		c.mu.Lock()
		c.ends[n.name]++
		c.mu.Unlock()
		if !c.pause(awayTime) {
			return
		}
		if err := n.start(); err != nil {
			c.record.printf("%s: %v", n.name, err)
			return
		}
	}
}

// call sends one lookup after the other to an instance.
func (c *entryCase) call(n *instance, index int) {
	for i := 0; c.pause(lookupPause); i++ {
		key := rand.IntN(keySpace)      //nolint:gosec // any key will do
		if rand.Float64() < busyShare { //nolint:gosec // as above
			spell := int(time.Since(c.record.started) / busyTime)
			key = (spell*9973 + rand.IntN(busyKeys)) % keySpace //nolint:gosec // as above
		}
		lookUp(c.record, n, fmt.Sprintf("%s-%d-%d", n.name, index, i), key)
	}
}

// pause waits and reports whether the case goes on.
func (c *entryCase) pause(d time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (c *entryCase) judge() bool {
	broken := 0
	for _, n := range c.instances {
		c.record.printf("%s: its processes have ended by themselves %d times", n.name, c.ends[n.name])
		if c.ends[n.name] >= endsToBreak {
			broken++
		}
	}
	return broken >= minBrokenMachines
}
