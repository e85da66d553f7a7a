package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Times of the case.
const (
	calmTime  = 4 * time.Second // longer than contactS
	playTime  = 26 * time.Second
	sendEvery = 50 * time.Millisecond
)

// Load of the case, and the bound of the rule.
const (
	lookSenders  = 2 // at each instance
	orderSenders = 8 // at each instance
	cutsAllowed  = 3 // requests that a machine may pass on from a kept connection that it then closes without an answer
)

// playUnreadableKey has another writer leave one entry among those of the backends whose key is not text.
func playUnreadableKey(r *record, trouble bool) ([]string, error) {
	s, err := smallSite(r)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	c := newCaller(r)
	stop := time.Now().Add(calmTime + playTime)
	var senders sync.WaitGroup
	for _, n := range s.instances {
		for range lookSenders {
			senders.Go(func() {
				for time.Now().Before(stop) {
					c.send("GET", n.front(), "look.example", rand.IntN(1<<16), 2*time.Second, "") //nolint:gosec // spreads keys
					time.Sleep(sendEvery)
				}
			})
		}
		for range orderSenders {
			senders.Go(func() {
				for time.Now().Before(stop) {
					c.send("POST", n.front(), "order.example", -1, 2500*time.Millisecond, "order")
					time.Sleep(sendEvery)
				}
			})
		}
	}
	time.Sleep(calmTime)
	if trouble {
		if err := s.leaveEntry("r\xe4knare-1"); err != nil {
			return nil, err
		}
	}
	senders.Wait()
	time.Sleep(2 * runTime) // until the last runs have ended
	return s.checkCutOff(c), nil
}

// checkCutOff returns the machines that cut off more orders than the rule allows.
func (s *site) checkCutOff(c *caller) []string {
	var broken []string
	for front, n := range c.countCutOff(s.runs.Runs()) {
		s.record.note("%d orders that backends ran were cut off at %s", n, front)
		if n > cutsAllowed {
			broken = append(broken, fmt.Sprintf("%d orders that backends ran were cut off at %s", n, front))
		}
	}
	return broken
}

// leaveEntry writes an entry with the given key and an address at which nothing listens.
func (s *site) leaveEntry(key string) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // closed at once
	if err != nil {
		return err
	}
	address := l.Addr().String()
	_ = l.Close() // nothing listens there afterwards
	raw, err := json.Marshal(map[string]any{
		"address": address, "born": time.Now().UnixMilli(), "info": map[string]any{"service": "stock", "version": "v1", "zone": "a", "slots": slots},
		"status": map[string]any{"phase": "ready", "sequence": 1, "warmupLeftS": 0},
	})
	if err != nil {
		return err
	}
	s.record.note("another writer leaves an entry with the key %q: %s", key, raw)
	s.store.Put("keyed.servers", key, raw)
	return nil
}
