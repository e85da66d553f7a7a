package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pollenpier/pollenpier/platform/standin"
)

// Size and times of the case.
const (
	entryInstances = 3
	owners         = 6
	entryTime      = 95 * time.Second
	readTime       = 1500 * time.Millisecond // in which the instances read an entry
	drainTime      = 3 * time.Second         // from the report that a server drains to its end
	restTime       = 500 * time.Millisecond  // until the next server is replaced
	awayTime       = 2 * time.Second         // from the end of a process to the start of the next one
	lookupPause    = 20 * time.Millisecond
	keyStep        = 997 // from the key of one lookup to the next
	keySpace       = 1 << 16
)

// What the rule on faults calls too much: how often the processes of one machine end by themselves, and the number of such machines.
const (
	endsToBreak       = 3
	minBrokenMachines = 2
)

// oddName is the beginning of the names under which another writer leaves its entries. They are not text: 0xff is in no UTF-8 string.
const oddName = "i-\xff"

// firstOddPort is the port in the first of these entries. No process listens there; each entry has another one.
const firstOddPort = 2

// smallSite is the machine of the site file sites/zieds-gw.toml.
var smallSite = machine{memoryMB: 284, descriptors: 4100, cores: 0.32}

// entryCase is the state of the case.
type entryCase struct {
	*deployment
	executions *standin.ExecutionLog
	servers    []*standin.Server
	started    int
	stop       chan struct{}
	running    sync.WaitGroup

	mu   sync.Mutex
	ends map[string]int // by instance: how often a process ended by itself
}

// playEntry replaces the backend servers of a service that is divided by key one after the other, while another writer leaves an entry
// with an unreadable name among theirs. The rule is broken if the processes of two machines end by themselves three times.
func playEntry(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r, layout{instances: entryInstances, machine: smallSite, sharded: true})
	if err != nil {
		return false, err
	}
	defer d.close()
	c := &entryCase{deployment: d, executions: &standin.ExecutionLog{}, stop: make(chan struct{}), ends: map[string]int{}}
	d.cleanups = append(d.cleanups, c.crashServers)
	for range owners {
		if err := c.addServer(); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	for _, n := range d.instances {
		c.running.Go(func() { c.restart(n) })
		c.running.Go(func() { c.lookUp(n) })
	}
	err = c.replaceServers(trouble)
	close(c.stop)
	c.running.Wait()
	return c.judge(), err
}

func (c *entryCase) addServer() error {
	s, err := standin.NewServer("127.0.0.1", standin.ServerOptions{
		ID: fmt.Sprintf("i-%d", c.started), Service: serviceName, Zone: "a", Sharded: true, Slots: slots, Work: workTime / 8,
	}, c.store, c.executions)
	if err != nil {
		return err
	}
	c.record.printf("backend server %s started", s.ID)
	c.started++
	c.servers = append(c.servers, s)
	return nil
}

func (c *entryCase) crashServers() {
	for _, s := range c.servers {
		s.Crash()
	}
}

// replaceServers replaces the servers in turn: a new one starts, and the oldest one drains and ends. With trouble, another writer leaves an
// entry before each.
func (c *entryCase) replaceServers(trouble bool) error {
	end := time.Now().Add(entryTime)
	for i := 0; time.Now().Before(end); i++ {
		if trouble {
			if err := c.leaveOddEntry(i); err != nil {
				return err
			}
		}
		time.Sleep(readTime)
		if err := c.addServer(); err != nil {
			return err
		}
		oldest := c.servers[0]
		c.servers = c.servers[1:]
		c.record.printf("backend server %s drains", oldest.ID)
		oldest.Drain()
		time.Sleep(drainTime)
		c.record.printf("backend server %s has ended", oldest.ID)
		oldest.Remove()
		time.Sleep(restTime)
	}
	return nil
}

// leaveOddEntry writes an entry under a name that cannot be read.
func (c *entryCase) leaveOddEntry(i int) error {
	name := fmt.Sprintf("%s%d", oddName, i)
	raw, err := json.Marshal(map[string]any{
		"address": fmt.Sprintf("127.0.0.1:%d", firstOddPort+i), "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": serviceName, "version": "v1", "zone": "a", "slots": slots},
		"status": map[string]any{"phase": "ready", "sequence": 1, "warmupLeftS": 0},
	})
	if err != nil {
		return err
	}
	c.record.printf("another writer leaves an entry under the name %q", name)
	c.store.Put("keyed.servers", name, raw)
	return nil
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

// lookUp sends one request after the other to an instance, each with another key.
func (c *entryCase) lookUp(n *instance) {
	for i := 0; c.pause(lookupPause); i++ {
		id := fmt.Sprintf("%s-%d", n.name, i)
		conn, err := dial(c.record, n, asTheyCome)
		if err != nil {
			c.record.printf("%s was not sent: %v", id, err)
			continue
		}
		sent := time.Now()
		if conn.sendKeyed(id, i*keyStep%keySpace) == nil {
			conn.receive(id, sent)
		}
		conn.close()
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
	c.record.printf("%d requests have run", len(c.executions.Runs()))
	return broken >= minBrokenMachines
}
