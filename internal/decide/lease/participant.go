package lease

import "time"

// Participant is one member with its voter and its holder. It counts its own vote like those of the other members.
type Participant struct {
	Holder *Holder
	Voter  *Voter
	self   Member
	// claimant is the identity under which this process claims.
	claimant Member
}

// NewParticipant returns the participant of a member that starts at now. The claimant must be unique to this process start; if
// the members are instances, it is the member itself.
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

// Tick renews and starts claims and counts the local vote. The caller sends the claims to all other voters.
func (p *Participant) Tick(now time.Duration) Effects {
	effects := p.Holder.Tick(now, p.Voter)
	p.voteOnReleases(now, effects.Releases)
	claims := effects.Claims
	results := p.Vote(now, p.claimant, p.Holder.Roster().Version, claims)
	answer := p.Holder.HandleResults(now, p.self, now, claims, results)
	p.voteOnReleases(now, answer.Releases)
	effects.merge(answer)
	return effects
}

// Vote answers claims of the claimant from, which were made with the given roster version.
func (p *Participant) Vote(now time.Duration, from Member, version uint64, claims []Claim) []Result {
	results := make([]Result, 0, len(claims))
	for _, c := range claims {
		results = append(results, p.Voter.Claim(now, from, version, c))
	}
	return results
}

// HandleResults handles another voter's results for claims that were sent at sentAt.
func (p *Participant) HandleResults(now time.Duration, from Member, sentAt time.Duration, sent []Claim, results []Result) Effects {
	return p.applyOwnReleases(now, p.Holder.HandleResults(now, from, sentAt, sent, results))
}

// SetWanted replaces the set of names that this participant should claim.
func (p *Participant) SetWanted(now time.Duration, names []Name) Effects {
	return p.applyOwnReleases(now, p.Holder.SetWanted(now, names))
}

// HandOver releases those of the names that another live member is preferred for.
func (p *Participant) HandOver(now time.Duration, names []Name) Effects {
	return p.applyOwnReleases(now, p.Holder.HandOver(now, names))
}

// Release releases names. The caller must have stopped everything that relies on them.
func (p *Participant) Release(now time.Duration, names []Name) Effects {
	return p.applyOwnReleases(now, p.Holder.Release(now, names))
}

// Stop releases all leases. The participant claims nothing afterwards but continues to vote.
func (p *Participant) Stop(now time.Duration) Effects {
	return p.applyOwnReleases(now, p.Holder.Stop(now))
}

func (p *Participant) applyOwnReleases(now time.Duration, effects Effects) Effects {
	p.voteOnReleases(now, effects.Releases)
	return effects
}

// voteOnReleases frees the promises of the local voter. Releases apply whatever the roster version is.
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
