package balance

import "time"

// PeerWarmup is what peers' reports tell about the warm-up of a backend. An instance that cannot read the backend's entry uses it. Requests
// that an instance limits for this reason alone are not reported to peers, since instances would keep each other at the limit otherwise.
// The zero value has no reports. It is not safe for concurrent use.
type PeerWarmup struct {
	peerAt time.Duration // when a peer last reported requests to the cold backend
	ownAt  time.Duration // when this instance last knew by itself that the backend is cold
}

// PeerReported records that a peer has reported requests to the backend as a cold one.
func (p *PeerWarmup) PeerReported(now time.Duration) { p.peerAt = now }

// Known records that this instance knows by itself that the backend is cold.
func (p *PeerWarmup) Known(now time.Duration) { p.ownAt = now }

// Cold reports whether the backend is cold according to a recent report.
func (p *PeerWarmup) Cold(now time.Duration) bool { return p.peerAt > 0 && now-p.peerAt < warmupWindow }

// Reportable reports whether peers are told of the requests to the backend within the last window.
func (p *PeerWarmup) Reportable(now time.Duration) bool {
	return p.ownAt > 0 && now-p.ownAt < warmupWindow
}
