package main

import (
	"fmt"
	"time"
)

// Load of the case.
const (
	calmTime     = 4 * time.Second // longer than contactS
	applyTime    = 3 * time.Second // longer than configApplyS
	ordersByKey  = 5
	otherKey     = "key-of-another-customer"
	unknownKey   = "key-that-never-was"
	firstVersion = 1
	newVersion   = 4
)

// playLastKey has a version of the configuration remove the only customer and its key. Without the disruption, the version puts another
// customer with another key in its place.
func playLastKey(r *record, trouble bool) ([]string, error) {
	s, err := smallSite(r)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(calmTime)
	c := newCaller(r)
	r.note("orders under version %d, with the key of the customer and with one that never was", firstVersion)
	served, err := s.sendOrders(c, customerKey)
	if err != nil {
		return nil, err
	}
	if served == 0 {
		return nil, fmt.Errorf("no order with the customer's key was run under version %d", firstVersion)
	}
	if n, err := s.sendOrders(c, unknownKey); n > 0 || err != nil {
		return []string{fmt.Sprintf("%d orders with a key that never was were run under version %d", n, firstVersion)}, err
	}
	if trouble {
		err = s.configure(newVersion)
	} else {
		err = s.configure(newVersion, tenant{"customer-2", otherKey})
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(applyTime)
	var broken []string
	r.note("orders under version %d, with the key that was removed and with one that never was", newVersion)
	n, err := s.sendOrders(c, unknownKey)
	if err != nil {
		return nil, err
	}
	if n > 0 {
		broken = append(broken, fmt.Sprintf("%d orders with a key that no configuration ever held were run", n))
	}
	if n, err = s.sendOrders(c, customerKey); err != nil {
		return nil, err
	}
	if n > 0 {
		broken = append(broken, fmt.Sprintf("%d orders with a key that was removed were run more than %v after the acknowledgement", n, applyTime))
	}
	return broken, nil
}

// sendOrders sends orders with the given key to all instances and returns how many of them a backend ran.
func (s *site) sendOrders(c *caller, key string) (int, error) {
	ran := 0
	for _, n := range s.instances {
		for range ordersByKey {
			id, err := c.order(n.front(), key)
			if err != nil {
				return ran, err
			}
			if run, ok := s.log.find(id); ok {
				s.record.note("%s was run by %s for the customer %q", id, run.endpoint, run.customer)
				ran++
			}
		}
	}
	return ran, nil
}
