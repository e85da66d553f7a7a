package lease

import "time"

// Participant is one member with its vote and its claims. It counts its own vote like those of the others.
type Participant struct {
	Holder *Holder
	Voter  *Voter
	self   Member
	// claimant is the name under which this process claims.
	claimant Member
}

// NewParticipant returns the participant of a member that starts at now. The claimant is unique to this process start; where
// instances are the members, it is the member itself.
func NewParticipant(now time.Duration, self, claimant Member, timing Timing, settings VoterSettings) *Participant {
	return &Participant{
		Holder: NewHolder(now, self, claimant, timing), Voter: NewVoter(now, settings), self: self, claimant: claimant,
	}
}

// SetRoster replaces the roster.
func (p *Participant) SetRoster(r Roster) {
	p.Holder.SetRoster(r)
	p.Voter.SetVersion(r.Version)
}

// Tick renews and begins claims and counts the own vote. The claims are to be sent to all other voters.
func (p *Participant) Tick(now time.Duration) Effects {
	effects := p.Holder.Tick(now, p.Voter)
	p.voteOnReleases(now, effects.Releases)
	claims := effects.Claims
	results := p.Vote(now, p.claimant, p.Holder.Roster().Version, claims)
	answered := p.Holder.HandleResults(now, p.self, now, claims, results)
	p.voteOnReleases(now, answered.Releases)
	effects.merge(answered)
	return effects
}

// Vote answers claims. From is the claimant.
func (p *Participant) Vote(now time.Duration, from Member, version uint64, claims []Claim) []Result {
	results := make([]Result, 0, len(claims))
	for _, c := range claims {
		results = append(results, p.Voter.Claim(now, from, version, c))
	}
	return results
}

// HandleResults counts the results of another voter.
func (p *Participant) HandleResults(now time.Duration, from Member, sentAt time.Duration, sent []Claim, results []Result) Effects {
	return p.released(now, p.Holder.HandleResults(now, from, sentAt, sent, results))
}

// SetWanted replaces the set of names that this participant may hold.
func (p *Participant) SetWanted(now time.Duration, names []Name) Effects {
	return p.released(now, p.Holder.SetWanted(now, names))
}

// HandOver releases those of the names that another live member should hold.
func (p *Participant) HandOver(now time.Duration, names []Name) Effects {
	return p.released(now, p.Holder.HandOver(now, names))
}

// Release gives names back.
func (p *Participant) Release(now time.Duration, names []Name) Effects {
	return p.released(now, p.Holder.Release(now, names))
}

// Stop releases everything for good. The participant keeps voting.
func (p *Participant) Stop(now time.Duration) Effects {
	return p.released(now, p.Holder.Stop(now))
}

func (p *Participant) released(now time.Duration, effects Effects) Effects {
	p.voteOnReleases(now, effects.Releases)
	return effects
}

// voteOnReleases frees the own promises. Releases count whatever the roster version is.
func (p *Participant) voteOnReleases(now time.Duration, releases []Claim) {
	for _, c := range releases {
		p.Voter.Claim(now, p.claimant, p.Voter.Version(), c)
	}
}

func (e *Effects) merge(other Effects) {
	e.Claims = append(e.Claims, other.Claims...)
	e.Releases = append(e.Releases, other.Releases...)
	e.Gained = append(e.Gained, other.Gained...)
	e.Lost = append(e.Lost, other.Lost...)
}
