package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// zones of the deployments.
var zones = []string{"a", "b", "c"}

// startStock starts three instances and some endpoints of a partitioned service.
func (s *site) startStock(endpoints int, work time.Duration, slots int) error {
	s.configure(usualBurst)
	for i := range endpoints {
		e := &endpoint{
			id: fmt.Sprintf("stock-%d", i), service: stockService, zone: zones[i%len(zones)], sharded: true, slots: slots,
			work: func(*http.Request) time.Duration { return work },
		}
		if err := s.addEndpoint(e); err != nil {
			return err
		}
	}
	for _, zone := range zones {
		if err := s.addInstance(zone); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// startOrders starts three instances and four endpoints of a service without keys.
func (s *site) startOrders(work time.Duration, slots int) error {
	s.configure(usualBurst)
	for i := range 4 {
		e := &endpoint{
			id: fmt.Sprintf("orders-%d", i), service: orderService, zone: zones[i%len(zones)], slots: slots,
			work: func(*http.Request) time.Duration { return work },
		}
		if err := s.addEndpoint(e); err != nil {
			return err
		}
	}
	for _, zone := range zones {
		if err := s.addInstance(zone); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// lookups starts callers that look up keys.
func (s *site) lookups(t *traffic, keys *hotKeys, callers int, pause time.Duration) {
	for i := range callers {
		t.call(s.instances[i%len(s.instances)], pause, keys.lookup)
	}
}

// settleTime is the time for which the traffic runs before anything changes.
const settleTime = 4 * time.Second

// playForeignEntry lets another writer leave an entry among those of the endpoints. It has the address of an endpoint and a service that
// is not configured. Then the keys of that endpoint become busy, as busy keys may change at any time. Rule: OWNER.
func playForeignEntry(s *site, trouble bool) ([]string, error) {
	if err := s.startStock(4, 60*time.Millisecond, 3); err != nil {
		return nil, err
	}
	t, keys := newTraffic(s), newHotKeys()
	s.lookups(t, keys, 24, 400*time.Millisecond)
	time.Sleep(settleTime)
	owner := s.endpoints[0]
	if trouble {
		raw, err := json.Marshal(map[string]any{
			"address": owner.address, "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "stock-agent", "version": "v1", "zone": owner.zone, "slots": 1},
			"status": map[string]any{"phase": "ready", "sequence": 1, "warmupLeftS": 0},
		})
		if err != nil {
			return nil, err
		}
		s.record.line("another writer leaves the entry agent-1: %s", raw)
		s.store.Put(topicServers, "agent-1", raw)
	}
	keys.set(owner.widest())
	time.Sleep(12 * time.Second)
	t.end()
	s.record.line("keys that %s holds at the end: %d", owner.id, owner.keys())
	return append(heldByTwo(s.endpoints), grantedDuringWork(s.endpoints)...), nil
}

// Limits of the platform for repeated answers.
const (
	// repeatedShare is the share of its answers that a faulty endpoint repeats at most.
	repeatedShare = 0.03
	repeatedTime  = 5 * time.Second
)

// faultyTimes is how often the endpoints of playRepeatedRelease are faulty, with a pause after each time.
const (
	faultyTimes = 13
	faultyPause = 2 * time.Second
)

// playRepeatedRelease makes four of eight endpoints repeat some of their answers late several times, where the next answer on the connection
// is expected, among them answers to releases. The busy keys change, so keys move. Rule: OWNER.
func playRepeatedRelease(s *site, trouble bool) ([]string, error) {
	if err := s.startStock(8, 300*time.Millisecond, 3); err != nil {
		return nil, err
	}
	t, keys := newTraffic(s), newHotKeys()
	s.lookups(t, keys, 40, 200*time.Millisecond)
	time.Sleep(settleTime)
	faulty := s.endpoints[:4]
	for i := range faultyTimes {
		for _, e := range faulty {
			e.setRepeating(trouble)
		}
		for j := range 2 {
			keys.set(faulty[(2*i+j)%len(faulty)].widest())
			time.Sleep(repeatedTime / 2)
		}
		for _, e := range faulty {
			e.setRepeating(false)
			s.record.line("endpoint %s has repeated %d of %d answers", e.id, e.repeated, e.answers)
		}
		time.Sleep(faultyPause)
	}
	t.end()
	return append(heldByTwo(s.endpoints), grantedDuringWork(s.endpoints)...), nil
}

// Times of playCrashInMove.
const (
	// recoveryTime is the bound recoveryS of the platform.
	recoveryTime = 15 * time.Second
	// observeTime is how long the requests are counted after it.
	observeTime = 30 * time.Second
)

// playCrashInMove crashes one of eight endpoints for good when the keys of another one become busy. After the recovery, a customer asks
// for keys that were taken from the busy endpoint then and that nobody holds. Rule: Starved.
func playCrashInMove(s *site, trouble bool) ([]string, error) {
	if err := s.startStock(8, 100*time.Millisecond, 3); err != nil {
		return nil, err
	}
	t, keys := newTraffic(s), newHotKeys()
	s.lookups(t, keys, 36, 200*time.Millisecond)
	time.Sleep(settleTime)
	busy, crashed := s.endpoints[0], s.endpoints[1]
	first := len(busy.releasedRanges())
	keys.set(busy.widest())
	if trouble {
		s.crash(crashed)
	}
	time.Sleep(recoveryTime)
	released := busy.releasedRanges()[first:]
	if len(released) == 0 {
		return nil, errNoMove
	}
	wanted := released[0]
	for _, c := range released {
		if !s.held(c) {
			s.record.line("nobody holds %d-%d, released with fence %d", c.From, c.To, c.Fence)
			wanted = c
		}
	}
	s.record.line("%s asks for the keys %d-%d", customers[1], wanted.From, wanted.To)
	servedBefore, askedBefore := t.count(customers[0])
	var n atomic.Int64
	for i := range 6 {
		t.call(s.instances[i%len(s.instances)], 400*time.Millisecond, func() request {
			id := newID("lookup")
			key := wanted.From + int(n.Add(1))%(wanted.To-wanted.From+1)
			return request{id: id, method: http.MethodGet, path: stockPath + id, customer: customers[1], key: key, deadline: 2 * time.Second}
		})
	}
	time.Sleep(observeTime)
	t.end()
	return s.judgeStarved(t, servedBefore, askedBefore), nil
}

// held reports whether an endpoint holds the first key of a range.
func (s *site) held(c command) bool {
	for _, e := range s.endpoints {
		if e.holdsKey(c.From) {
			return true
		}
	}
	return false
}

// Sizes of the bodies, in bytes. Both are below the limit of the configuration.
const (
	largeBody = 60 << 20
	smallBody = 64 << 10
)

// Orders with a large body.
const (
	// uploads is the number of them that are sent at the same time.
	uploads = 4
	// uploadRate is their speed together in bytes per second. It is below that of the machine's link, 1000 Mbit/s, so that no packets
	// wait there.
	uploadRate = 100 << 20
)

// playLargeBodies sends an instance a few orders with large bodies at the same time. The platform kills a process that uses more memory
// than its machine has. Rule: LOST.
func playLargeBodies(s *site, trouble bool) ([]string, error) {
	if err := s.startOrders(300*time.Millisecond, 16); err != nil {
		return nil, err
	}
	for _, n := range s.instances {
		s.limitMemory(n)
	}
	t := newTraffic(s)
	for i := range 24 {
		t.call(s.instances[i%2], 30*time.Millisecond, order)
	}
	time.Sleep(settleTime)
	s.upload(s.instances[0], trouble)
	time.Sleep(2 * time.Second)
	t.end()
	return s.judgeLost(t), nil
}

// upload sends orders to an instance at the same time and waits for their ends.
func (s *site) upload(n *instance, large bool) {
	size := smallBody
	if large {
		size = largeBody
	}
	var all sync.WaitGroup
	for range uploads {
		all.Go(func() {
			r := order()
			r.body, r.pace = size, uploads*bodyPart*time.Second/uploadRate
			s.record.line("order %s with a body of %d bytes is sent to %s", r.id, size, n.ip)
			c := &caller{address: fmt.Sprintf("%s:%d", n.ip, frontPort)}
			seen := c.do(r)
			c.drop()
			s.record.line("order %s: status %d, closed %t, %v", r.id, seen.status, seen.closed, seen.err)
		})
	}
	all.Wait()
}

// lostAllowed is the number of requests that may be lost by the rule LOST.
const lostAllowed = 3

// judgeLost returns the requests on kept connections that had begun at an endpoint and ended without an answer, if they are more than
// the rule allows.
func (s *site) judgeLost(t *traffic) []string {
	var broken []string
	for _, id := range t.lost {
		for _, e := range s.endpoints {
			if e.hasBegun(id) {
				broken = append(broken, fmt.Sprintf("order %s runs at %s, and its connection was closed without an answer", id, e.id))
			}
		}
	}
	s.record.line("%d requests that were passed on ended without an answer", len(broken))
	if len(broken) <= lostAllowed {
		return nil
	}
	return broken
}

// memoryInterval is the time between two looks at the memory of a process.
const memoryInterval = 10 * time.Millisecond

// limitMemory does what the platform does: it kills a process of the instance that uses more memory than its machine has.
func (s *site) limitMemory(n *instance) {
	s.loops.Go(func() {
		peak := 0
		for {
			select {
			case <-s.stopped:
				s.record.line("instance %s used at most %d MB", n.ip, peak>>10)
				return
			case <-time.After(memoryInterval):
			}
			used := anonymousKB(n.pid())
			peak = max(peak, used)
			if used > memoryMB<<10 {
				s.record.line("process %d of instance %s uses %d kB, more than %d MB: killed", n.pid(), n.ip, used, memoryMB)
				n.signal(syscall.SIGKILL)
				<-n.exited
			}
		}
	})
}

// anonymousKB returns the memory of a process in kB that is not backed by files, zero if it has ended.
func anonymousKB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) //nolint:gosec // a process that the rig has started
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB"))) // zero if it is unreadable
			return n
		}
	}
	return 0
}

// smallBurst is the burst that playSmallBurst gives a customer, in requests.
const smallBurst = 1

// playSmallBurst gives a customer a small burst by a new version of the configuration. The customer asks for a fifth of its rate. Rule:
// Starved.
func playSmallBurst(s *site, trouble bool) ([]string, error) {
	if err := s.startOrders(50*time.Millisecond, 8); err != nil {
		return nil, err
	}
	t := newTraffic(s)
	for i := range 6 {
		t.call(s.instances[i%len(s.instances)], 500*time.Millisecond, order)
	}
	time.Sleep(settleTime)
	burst := usualBurst
	if trouble {
		burst = smallBurst
	}
	s.record.line("the operator sets a burst of %d and a rate of %d for %s", burst, usualRate, customers[1])
	s.configure(burst)
	time.Sleep(settleTime)
	servedBefore, askedBefore := t.count(customers[0])
	for _, n := range s.instances {
		t.call(n, 500*time.Millisecond, func() request {
			r := order()
			r.customer = customers[1]
			return r
		})
	}
	time.Sleep(observeTime)
	t.end()
	return s.judgeStarved(t, servedBefore, askedBefore), nil
}

// judgeStarved compares the requests of the second customer with all requests since the given counts of the first one.
func (s *site) judgeStarved(t *traffic, servedBefore, askedBefore int) []string {
	served, asked := t.count(customers[0])
	served, asked = served-servedBefore, asked-askedBefore
	servedNorth, askedNorth := t.count(customers[1])
	s.record.line("served: %d of %d of %s, %d of %d of %s", served, asked, customers[0], servedNorth, askedNorth, customers[1])
	if 4*servedNorth*(asked+askedNorth) >= (served+servedNorth)*askedNorth {
		return nil
	}
	return []string{fmt.Sprintf("of %s %d of %d requests were served, of all %d of %d", customers[1], servedNorth, askedNorth, served+servedNorth, asked+askedNorth)}
}
