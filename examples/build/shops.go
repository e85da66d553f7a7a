package main

import (
	"time"

	"github.com/pollenpier/pollenpier/operator"
)

// ziedlapu returns the configuration of a shop with a stock service partitioned by key, an order service, and a service for
// shipping and payment.
func ziedlapu() (*operator.Config, error) {
	const slots = 2
	zones := []string{"riga", "jelgava", "ventspils"}
	b := operator.New().Zone(zones...)
	for _, c := range []struct {
		name  string
		rate  float64
		burst int
	}{
		{"rozes", 400, 80}, {"tulpes", 300, 60}, {"liepas", 60, 20}, {"ozoli", 40, 10},
		{"berzi", 30, 10}, {"vitoli", 20, 10}, {"klavas", 10, 10}, {"osi", 10, 10},
	} {
		b.Customer(c.name, c.rate, c.burst, sampleKey(c.name))
	}
	return b.Service(operator.Service{
		Name: "stock",
		Routes: []operator.Route{
			{Path: "/items", Methods: []string{"GET", "HEAD"}, Kind: operator.RouteIdempotent, Access: operator.AccessOpen},
			{Path: "/levels", Methods: []string{"PUT"}, Kind: operator.RouteIdempotent, Access: operator.AccessInternal},
		},
		Backends: endpoints("stock", 25, slots, 1, zones...),
	}).Service(orders(10, slots, zones)).Service(operator.Service{
		Name:   "shipping",
		MaxRun: 5 * time.Second,
		Routes: []operator.Route{
			{Path: "/shipments", Kind: operator.RouteIdempotent, Access: operator.AccessOpen},
			{Path: "/shipments", Methods: []string{"POST"}, Kind: operator.RouteAtMostOnce, Access: operator.AccessInternal},
			{Path: "/payments", Methods: []string{"POST"}, Kind: operator.RouteAtMostOnce, Access: operator.AccessOpen},
		},
		Backends: endpoints("shipping", 6, slots, 3, zones...),
	}).Build()
}

// kitabi returns the configuration of a bookshop with a catalogue partitioned by key, an order service, and a dispatch service.
func kitabi() (*operator.Config, error) {
	const slots = 3
	zones := []string{"kazan-a", "kazan-b", "kazan-c"}
	b := operator.New().Zone(zones...)
	for _, c := range []struct {
		name  string
		rate  float64
		burst int
	}{
		{"gasyr", 500, 100}, {"kyysa", 350, 80}, {"tukay", 80, 20}, {"jalil", 50, 10},
		{"amirkhan", 30, 10}, {"alish", 20, 10}, {"kamal", 10, 10}, {"burnash", 10, 10},
	} {
		b.Customer(c.name, c.rate, c.burst, sampleKey(c.name))
	}
	return b.Service(operator.Service{
		Name: "catalogue",
		Routes: []operator.Route{
			{Path: "/books", Methods: []string{"GET", "HEAD"}, Kind: operator.RouteIdempotent, Access: operator.AccessOpen},
			{Path: "/books", Methods: []string{"PUT"}, Kind: operator.RouteIdempotent, Access: operator.AccessInternal},
		},
		Backends: endpoints("catalogue", 20, slots, 1, zones...),
	}).Service(orders(10, slots, zones)).Service(operator.Service{
		Name: "dispatch",
		Routes: []operator.Route{
			{Path: "/", Methods: []string{"POST"}, Kind: operator.RouteAtMostOnce, Access: operator.AccessInternal},
			{Path: "/status", Kind: operator.RouteIdempotent, Access: operator.AccessOpen},
		},
		Backends: endpoints("dispatch", 6, slots, 3, zones...),
	}).Build()
}

// orders returns the order service, which is the same in both shops except for its size and zones.
func orders(count, slots int, zones []string) operator.Service {
	return operator.Service{
		Name: "orders",
		Routes: []operator.Route{
			{Path: "/", Methods: []string{"GET"}, Kind: operator.RouteIdempotent, Access: operator.AccessOpen},
			{Path: "/", Methods: []string{"POST"}, Kind: operator.RouteAtMostOnce, Access: operator.AccessOpen},
		},
		Backends: endpoints("orders", count, slots, 2, zones...),
	}
}
