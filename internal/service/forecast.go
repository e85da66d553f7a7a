package service

import (
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Forecast says where a call would go now. Nothing is sent, no token is used, and no state changes for it.
type Forecast struct {
	ConfigVersion uint64
	Route         string            // empty if there is none
	Customer      entity.CustomerID // empty if the route needs none
	// Refused is the outcome if the call would be refused before a service is chosen.
	Refused entity.Outcome
	Targets []TargetForecast
}

// TargetForecast is the forecast for one of the services to which the calls of a route go.
type TargetForecast struct {
	Service entity.ServiceName
	Share   float64 // fraction of the route's calls, from 0 to 1
	// Owner is the owner of the key, and TableVersion the version of the table that names it. Both are set for partitioned services.
	Owner        entity.BackendID
	TableVersion Version
	// Refused is the outcome if no backend may be sent the call.
	Refused  entity.Outcome
	Choice   Choice // its Backend is nil if the call would be refused
	Backends []BackendForecast
}

// BackendForecast is what an instance knows of a backend that may be sent the call.
type BackendForecast struct {
	ID       entity.BackendID
	Zone     entity.Zone
	Cold     bool
	Paused   bool          // it could not be reached recently
	HeldOff  time.Duration // how much longer it asks for no requests
	InFlight int           // requests of all instances, as far as known
	Limit    float64       // requests that it works on at once without slowing down
	// ServiceTime is the time without other requests, Expected the one with those in flight.
	ServiceTime, Expected time.Duration
}

// Forecaster says where calls would go.
type Forecaster interface {
	Forecast(call *Call) Forecast
}

// LoadForecaster is the counterpart of LoadTracker.Choose that changes nothing. It returns the choice that is most likely, and the
// candidates in their order.
type LoadForecaster interface {
	ForecastChoice(q LoadQuery) (Choice, []BackendForecast)
}
