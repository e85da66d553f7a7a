package h1

import "sync"

// Parts of an answer that do not count toward the limit, in bytes, so that the answers with which most exchanges end never compete.
const (
	freeHead = 4 << 10
	freeBody = 16 << 10
)

// headCost is how many bytes of memory a byte of a head needs: the head as it was read, and its parsed fields.
const headCost = 3

// account limits the memory of the answers that are being read, in bytes. When it is used up, an exchange with an address that uses less
// than another one takes the place of the largest answer of the address that uses the most. It is safe for concurrent use.
type account struct {
	limit int64 // 0 means no limit

	mu        sync.Mutex
	used      int64
	addresses map[string]*addressUse
}

// addressUse is what the answers of one address use.
type addressUse struct {
	used   int64
	shares map[*share]struct{}
}

// share is the part of one answer. Its methods are not safe for concurrent use with one another.
type share struct {
	of      *account
	address string
	cancel  func() // ends the exchange
	// head and body are what the answer needs.
	head, body int64
	counted    bool // the account has counted some of it

	// The fields below are guarded by the account's lock.
	held    int64
	revoked bool
}

func newAccount(limit int64) *account {
	return &account{limit: limit, addresses: map[string]*addressUse{}}
}

// newShare returns an empty share. It calls cancel, without waiting for its effect, if the answer has to make room for others.
func (a *account) newShare(address string, cancel func()) *share {
	return &share{of: a, address: address, cancel: cancel}
}

// growHead changes the share to that of a head of the given size in bytes. It reports false if the limit does not allow it.
func (s *share) growHead(size int64) bool {
	s.head = headCost * max(size-freeHead, 0)
	return s.resize()
}

// growBody changes the share to that of a body's buffer of the given size in bytes. It reports false if the limit does not allow it.
func (s *share) growBody(size int64) bool {
	s.body = max(size-freeBody, 0)
	return s.resize()
}

// release returns the share to the account.
func (s *share) release() {
	s.head, s.body = 0, 0
	s.resize()
}

// isRevoked reports whether the answer has to make room for others.
func (s *share) isRevoked() bool {
	if !s.counted {
		return false
	}
	s.of.mu.Lock()
	defer s.of.mu.Unlock()
	return s.revoked
}

func (s *share) resize() bool {
	size := s.head + s.body
	if size == 0 && !s.counted {
		return true // most answers need no lock
	}
	s.counted = true
	a := s.of
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.revoked {
		return size == 0
	}
	if !a.makeRoom(s, size-s.held) {
		return false
	}
	a.add(s, size-s.held)
	return true
}

// makeRoom cancels answers until the account has room for more bytes of a share. It reports false if the address of the share would then
// use the most. The caller holds the lock.
func (a *account) makeRoom(s *share, more int64) bool {
	for a.limit > 0 && more > 0 && a.used+more > a.limit {
		own := more
		if use := a.addresses[s.address]; use != nil {
			own += use.used
		}
		largest := a.largest(s.address)
		if largest == nil || largest.used <= own {
			return false
		}
		a.revokeLargest(largest)
	}
	return true
}

// largest returns the address, other than one, that uses the most. The caller holds the lock.
func (a *account) largest(except string) *addressUse {
	var found *addressUse
	for address, use := range a.addresses {
		if address != except && (found == nil || use.used > found.used) {
			found = use
		}
	}
	return found
}

// revokeLargest cancels the largest answer of an address. The caller holds the lock.
func (a *account) revokeLargest(use *addressUse) {
	var largest *share
	for s := range use.shares {
		if largest == nil || s.held > largest.held {
			largest = s
		}
	}
	a.add(largest, -largest.held)
	largest.revoked = true
	largest.cancel()
}

// add changes what a share holds. The caller holds the lock.
func (a *account) add(s *share, more int64) {
	use := a.addresses[s.address]
	if use == nil {
		use = &addressUse{shares: map[*share]struct{}{}}
		a.addresses[s.address] = use
	}
	a.used += more
	use.used += more
	s.held += more
	if s.held > 0 {
		use.shares[s] = struct{}{}
		return
	}
	delete(use.shares, s)
	if len(use.shares) == 0 {
		delete(a.addresses, s.address)
	}
}
